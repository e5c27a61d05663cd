import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** An operator's calls to the admin endpoint, HTTP/1.1, one for each connection. */
final class Operator {
    private Operator() {}

    /** Makes a call and returns the status, 0 where the endpoint cannot be reached. */
    static int call(String address, String method, String path) {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(
                    address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 1000);
            socket.setSoTimeout(2000);
            socket.getOutputStream().write(Resp.ascii(
                    method + " " + path + " HTTP/1.1\r\nHost: " + address + "\r\nContent-Length: 0\r\n\r\n"));
            String answer = new String(socket.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.US_ASCII);
            return Integer.parseInt(answer.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length()));
        } catch (IOException | IndexOutOfBoundsException e) {
            return 0;
        }
    }
}
