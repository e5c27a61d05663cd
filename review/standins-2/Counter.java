package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** The counter: adds to a name, which is forgotten when its life is over. */
final class Counter {
    private static final long MAX_LIFE_MS = 60_000;
    private final ServerSocket listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
    private final Map<String, double[]> totals = new HashMap<>();

    Counter() throws IOException {
        Rig.thread(() -> {
            while (true) {
                Socket socket = listener.accept();
                Rig.thread(() -> serve(socket));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void serve(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        for (byte[][] words = Wire.readCommand(in); words != null; words = Wire.readCommand(in)) {
            out.write(answer(words).getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
        socket.close();
    }

    private synchronized String answer(byte[][] words) {
        String verb = Wire.text(words[0]);
        if (verb.equals("PING")) {
            return "+PONG\r\n";
        }
        if (!verb.equals("CNT.ADD") || words.length != 4) {
            return verb.equals("CLIENT") || verb.equals("SELECT") ? "+OK\r\n" : "-ERR no such call\r\n";
        }
        long now = System.nanoTime() / 1_000_000;
        String name = Wire.text(words[1]);
        double[] total = totals.get(name);
        if (total == null || total[1] <= now) {
            total = new double[] {0, now + Math.min(MAX_LIFE_MS, Long.parseLong(Wire.text(words[3])))};
            totals.put(name, total);
        }
        total[0] += Double.parseDouble(Wire.text(words[2]));
        String text = String.valueOf(total[0]);
        return "$" + text.length() + "\r\n" + text + "\r\n";
    }
}
