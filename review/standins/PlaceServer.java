import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A place server. It begins a request once its last byte has come, works for a time, and answers in order. The value is
 * made by {@link #value}; the value of a request tells by which id it was asked for.
 */
class PlaceServer extends Service {
    private static final byte[] TURNED_AWAY = Resp.ascii("-BUSY\r\n");
    final String host;
    private final Record record;
    private final double minWorkMs;
    private final double maxWorkMs;

    PlaceServer(String host, Record record, double minWorkMs, double maxWorkMs) throws IOException {
        super();
        this.host = host;
        this.record = record;
        this.minWorkMs = minWorkMs;
        this.maxWorkMs = maxWorkMs;
    }

    /** The value that is served for a request. */
    byte[] value(String id, String attributes) {
        return Resp.ascii("value of " + id);
    }

    /** Whether it takes a request; else it is turned away, and {@link #ended} is not called. */
    boolean takes() {
        return true;
    }

    /** A request that was taken has ended. */
    void ended() {}

    /** The work on a request begins. */
    void begins(String id, String attributes) {}

    /** Called once an answer has been written. */
    void answered(Socket socket, byte[] answer, String id) throws Exception {}

    @Override
    void serve(Socket socket) throws Exception {
        InputStream in = Resp.buffered(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        while (true) {
            List<?> words = (List<?>) Resp.read(in);
            String verb = Resp.text(words.get(0));
            if (verb.startsWith("CALL.")) {
                String id = Resp.text(words.get(2));
                String attributes = Resp.text(words.get(3));
                byte[] answer = takes() ? work(verb, id, attributes) : TURNED_AWAY;
                out.write(answer);
                record.add("%s %s %s", host, answer == TURNED_AWAY ? "turns away" : "answers", id);
                answered(socket, answer, id);
            } else if (verb.equals("PING")) {
                out.write(Resp.ascii("+PONG\r\n"));
            } else if (verb.equals("INFO")) {
                String load = load();
                out.write(Resp.ascii("$" + load.length() + "\r\n" + load + "\r\n"));
            } else {
                out.write(Resp.ascii("+OK\r\n"));
            }
        }
    }

    private byte[] work(String verb, String id, String attributes) throws Exception {
        record.add("%s begins %s %s %s", host, verb, id, attributes);
        begins(id, attributes);
        double workMs = minWorkMs + (maxWorkMs - minWorkMs) * ThreadLocalRandom.current().nextDouble();
        Thread.sleep((long) workMs);
        ended();
        return answer(value(id, attributes));
    }

    private static String load() {
        return "qps=40,inflight=2,util=0.40";
    }

    private static byte[] answer(byte[] value) {
        String load = load();
        byte[] head = Resp.ascii("*3\r\n$" + value.length + "\r\n");
        byte[] tail = Resp.ascii("\r\n$-1\r\n$" + load.length() + "\r\n" + load + "\r\n");
        byte[] answer = new byte[head.length + value.length + tail.length];
        System.arraycopy(head, 0, answer, 0, head.length);
        System.arraycopy(value, 0, answer, head.length, value.length);
        System.arraycopy(tail, 0, answer, head.length + value.length, tail.length);
        return answer;
    }
}
