package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The discovery agent of a gateway's machine: the whole list, and a watch with an empty line every 2 s. */
final class Agent {
    private static final int LINE_EVERY_MS = 2000;
    private final ServerSocket listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
    private final Record record;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final List<OutputStream> watches = new ArrayList<>();
    private int version = 1;
    private boolean silent;

    Agent(Record record) throws IOException {
        this.record = record;
        Rig.thread(this::accept);
        Rig.thread(this::sendEmptyLines);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    static String entry(String host, String dial, String health) {
        return "{\"host\":\"" + host + "\",\"dial\":\"" + dial + "\",\"site\":\"hall-a\",\"class\":\"big-box\",\"block\":1,"
                + "\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":0}";
    }

    /** Lists a place server, or changes its entry, and tells the watches. */
    synchronized void set(String host, String dial, String health) {
        entries.put(host, entry(host, dial, health));
        version++;
        record.add("discovery tells " + host + " " + health + " (version " + version + ")");
        send(list(false, entries.get(host)) + "\n");
    }

    /** Discovery is down, or back: meanwhile the agent takes connections, and says nothing on any. */
    synchronized void setSilent(boolean down) {
        silent = down;
        record.add(down ? "discovery is down, the agent is silent" : "discovery is back");
        notifyAll();
    }

    synchronized String whole() {
        return list(true, String.join(",", entries.values()));
    }

    private String list(boolean whole, String hosts) {
        return "{\"seq\":" + version + ",\"whole\":" + whole + ",\"hosts\":[" + hosts + "]}";
    }

    private synchronized void send(String text) {
        if (silent) {
            return;
        }
        watches.removeIf(watch -> {
            try {
                watch.write(chunk(text));
                watch.flush();
                return false;
            } catch (IOException e) {
                return true;
            }
        });
    }

    private static byte[] chunk(String text) {
        return (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    private void sendEmptyLines() throws Exception {
        while (true) {
            Thread.sleep(LINE_EVERY_MS);
            send("\n");
        }
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            Rig.thread(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        while (true) {
            String request = Wire.line(in);
            while (!Wire.line(in).isEmpty()) {
                // the headers say nothing that is needed
            }
            synchronized (this) {
                while (silent) {
                    wait();
                }
                if (request.contains("follow=1")) {
                    boolean current = request.contains("since=" + version + " ");
                    out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                    out.write(chunk((current ? list(false, "") : whole()) + "\n"));
                    watches.add(out);
                } else {
                    String body = whole();
                    out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.ISO_8859_1));
                }
                out.flush();
            }
        }
    }
}
