package review2;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** One connection of a client. */
final class Client implements Closeable {
    private static final AtomicLong LAST_ID = new AtomicLong(System.nanoTime());
    private final Record record;
    private final Socket socket = new Socket();
    private final InputStream in;

    /** @param receiveBuffer bytes that the client's system takes in ahead of the client; 0 for its own choice */
    Client(Record record, String address, int receiveBuffer) throws IOException {
        this.record = record;
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.setTcpNoDelay(true);
        int colon = address.indexOf(':');
        socket.connect(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 2000);
        in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
    }

    static String newId() {
        return String.format("%016x", LAST_ID.incrementAndGet());
    }

    Socket socket() {
        return socket;
    }

    InputStream in() {
        return in;
    }

    OutputStream out() throws IOException {
        return socket.getOutputStream();
    }

    void send(byte[] bytes) throws IOException {
        out().write(bytes);
        out().flush();
    }

    /** Sends a request in one piece. */
    void send(String verb, String id, String attributes, byte[] body) throws IOException {
        record.add("client sends " + verb + " " + id + " " + attributes + (body == null ? "" : " body " + body.length));
        byte[][] words = {
            verb.getBytes(), Rig.CUSTOMER.getBytes(), id.getBytes(), attributes.getBytes(), body == null ? new byte[0] : body
        };
        send(Wire.command(body == null ? java.util.Arrays.copyOf(words, 4) : words));
    }

    /** The next answer as text; a value above 100 bytes by its length. Throws where the connection ends before its end. */
    String readAnswer() throws IOException {
        String line = Wire.line(in);
        if (!line.startsWith("$") || line.equals("$-1")) {
            return line;
        }
        byte[] value = Wire.bytes(in, Integer.parseInt(line.substring(1)));
        Wire.line(in);
        return value.length > 100 ? "value of " + value.length + " bytes" : "value " + Wire.text(value);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
