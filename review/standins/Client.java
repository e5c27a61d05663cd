import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** One connection of a client. */
final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    private final InputStream in;

    Client(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        socket.setTcpNoDelay(true);
        socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 5000);
        in = Resp.buffered(socket.getInputStream());
    }

    void timeout(int ms) throws IOException {
        socket.setSoTimeout(ms);
    }

    void send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    Object read() throws IOException {
        return Resp.read(in);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
