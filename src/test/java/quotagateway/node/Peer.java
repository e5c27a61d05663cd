package quotagateway.node;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * The remote side of a node's connections in tests: a listener with blocking sockets on the loopback address. A
 * background thread accepts its connections; the test reads and writes on them.
 */
final class Peer implements Closeable {
    /** A connection. Reads wait for at most 10 s, and then throw. */
    static final class Connection implements Closeable {
        final Socket socket;
        final InputStream input;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(10_000);
            input = new BufferedInputStream(socket.getInputStream());
        }

        /** Connects to a port on the loopback address. */
        static Connection connect(int port) throws IOException {
            return new Connection(new Socket(InetAddress.getLoopbackAddress(), port));
        }

        /** Returns the next line without its line end; throws at the end of the connection. */
        String readLine() throws IOException {
            StringBuilder text = new StringBuilder();
            for (int c = input.read(); c != '\n'; c = input.read()) {
                if (c < 0) {
                    throw new EOFException();
                }
                text.append((char) c);
            }
            return text.toString().replace("\r", "");
        }

        /** Returns the next RESP message: the parts of an array, a bulk string as a single part, or else the line. */
        List<String> readMessage() throws IOException {
            String head = readLine();
            List<String> parts = new ArrayList<>();
            if (head.startsWith("*")) {
                for (int i = Integer.parseInt(head.substring(1)); i > 0; i--) {
                    parts.addAll(readMessage());
                }
            } else if (head.startsWith("$")) {
                byte[] value = input.readNBytes(Integer.parseInt(head.substring(1)) + 2);
                parts.add(new String(value, 0, value.length - 2, StandardCharsets.ISO_8859_1));
            } else {
                parts.add(head);
            }
            return parts;
        }

        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Writes a RESP array of bulk strings. */
        void sendCommand(String... words) throws IOException {
            StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
            for (String word : words) {
                text.append('$')
                        .append(word.length())
                        .append("\r\n")
                        .append(word)
                        .append("\r\n");
            }
            write(text.toString());
        }

        /** Writes an endpoint's response: a value without actual units and load report. */
        void sendValue(String value) throws IOException {
            write("*3\r\n$" + value.length() + "\r\n" + value + "\r\n$-1\r\n$-1\r\n");
        }

        /** Waits for the next byte or the end of the connection; returns true at an end or a reset. */
        boolean awaitEnd() throws IOException {
            try {
                return input.read() < 0;
            } catch (SocketException reset) {
                return true;
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private final ServerSocket server;
    private final Thread accepting;
    private final BlockingQueue<Connection> accepted = new LinkedBlockingQueue<>();

    Peer() throws IOException {
        this(0);
    }

    Peer(int port) throws IOException {
        server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        accepting = new Thread(() -> {
            try {
                while (true) {
                    accepted.add(new Connection(server.accept()));
                }
            } catch (IOException closed) {
                // the test has ended
            }
        });
        accepting.setDaemon(true);
        accepting.start();
    }

    int port() {
        return server.getLocalPort();
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    /** Returns the next accepted connection; waits for at most 10 s, and then throws. */
    Connection awaitConnection() throws InterruptedException {
        Connection connection = accepted.poll(10, TimeUnit.SECONDS);
        if (connection == null) {
            throw new AssertionError("no connection accepted within 10 s");
        }
        return connection;
    }

    /** Returns the next connection accepted within the timeout, or null. */
    Connection pollConnection(long timeoutMs) throws InterruptedException {
        return accepted.poll(timeoutMs, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() throws IOException {
        server.close();
        try {
            accepting.join(); // the thread holds the socket until it ends: afterwards connects are refused
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (Connection connection : accepted) {
            connection.close();
        }
    }
}
