import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The shared counter: CNT.ADD NAME AMOUNT LIFE gives the total. */
final class Counter extends Service {
    private static final double LONGEST_LIFE_MS = 60_000;
    private final Map<String, double[]> totals = new HashMap<>();

    Counter() throws IOException {
        super();
    }

    @Override
    void serve(Socket socket) throws Exception {
        InputStream in = Resp.buffered(socket.getInputStream());
        while (true) {
            List<?> words = (List<?>) Resp.read(in);
            String verb = Resp.text(words.get(0));
            String answer;
            switch (verb) {
                case "CNT.ADD":
                    String total = add(words);
                    answer = "$" + total.length() + "\r\n" + total + "\r\n";
                    break;
                case "PING":
                    answer = "+PONG\r\n";
                    break;
                case "CLIENT":
                case "SELECT":
                    answer = "+OK\r\n";
                    break;
                default:
                    answer = "-ERR no such call\r\n";
            }
            socket.getOutputStream().write(Resp.ascii(answer));
        }
    }

    private synchronized String add(List<?> words) {
        String name = Resp.text(words.get(1));
        double life = Math.min(LONGEST_LIFE_MS, Double.parseDouble(Resp.text(words.get(3))));
        double now = Record.now();
        double[] total = totals.get(name);
        if (total == null || total[1] < now) {
            total = new double[] {0, now + life};
            totals.put(name, total);
        }
        total[0] += Double.parseDouble(Resp.text(words.get(2)));
        return String.valueOf(total[0]);
    }
}
