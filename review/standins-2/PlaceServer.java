package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A place server: a connection carries requests in order; what a request is answered is the case's own. */
final class PlaceServer {
    /** Answers one request; its last byte has come when this is called. */
    interface Handler {
        void answer(Request request) throws Exception;
    }

    /** A request that has come whole. */
    record Request(
            PlaceServer server, Socket socket, OutputStream out, String id, String attributes, int bodyBytes,
            double firstByteAt, double lastByteAt) {
        void serve(byte[] value) throws IOException {
            out.write(Wire.served(value));
            out.flush();
        }

        void serve(String value) throws IOException {
            serve(value.getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    /** Notes when the first byte of a command was read. */
    private static final class TimedInput extends BufferedInputStream {
        private final Record record;
        private double firstByteAt = -1;

        private TimedInput(InputStream in, Record record) {
            super(in, 8192);
            this.record = record;
        }

        @Override
        public synchronized int read() throws IOException {
            int next = super.read();
            if (firstByteAt < 0) {
                firstByteAt = record.now();
            }
            return next;
        }
    }

    private final ServerSocket listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
    private final String name;
    private final Record record;
    private final Handler handler;

    PlaceServer(String name, Record record, Handler handler) throws IOException {
        this.name = name;
        this.record = record;
        this.handler = handler;
        Rig.thread(() -> {
            while (true) {
                Socket socket = listener.accept();
                Rig.thread(() -> serve(socket));
            }
        });
    }

    String name() {
        return name;
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void serve(Socket socket) throws Exception {
        socket.setTcpNoDelay(true);
        TimedInput in = new TimedInput(socket.getInputStream(), record);
        OutputStream out = socket.getOutputStream();
        try {
            for (byte[][] words = Wire.readCommand(in); words != null; words = Wire.readCommand(in)) {
                double firstByteAt = in.firstByteAt;
                in.firstByteAt = -1;
                String verb = Wire.text(words[0]);
                if (verb.startsWith("CALL.")) {
                    String attributes = Wire.text(words[3]);
                    int bodyBytes = words.length > 4 ? words[4].length : 0;
                    record.add(name + " runs " + verb + " " + Wire.text(words[2]) + " " + attributes + " body " + bodyBytes);
                    handler.answer(new Request(
                            this, socket, out, Wire.text(words[2]), attributes, bodyBytes, firstByteAt, record.now()));
                } else {
                    out.write(plainAnswer(verb).getBytes(StandardCharsets.ISO_8859_1));
                    out.flush();
                }
            }
        } catch (IOException e) {
            record.add(name + ": a connection broke: " + e.getMessage());
        }
        socket.close();
    }

    private static String plainAnswer(String verb) {
        return switch (verb) {
            case "PING" -> "+PONG\r\n";
            case "CLIENT", "SELECT" -> "+OK\r\n";
            case "INFO" -> "$25\r\nqps=10,inflight=0,util=0.1\r\n".replace("$25", "$26");
            default -> "-ERR unknown command\r\n";
        };
    }
}
