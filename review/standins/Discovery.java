import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** The discovery agent: the whole list, and watches that tell changes and an empty line every 2 s. */
final class Discovery extends Service {
    private static final long EMPTY_LINE_MS = 2000;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final List<String> changes = new CopyOnWriteArrayList<>();
    private long version = 1;

    Discovery() throws IOException {
        super();
    }

    /** Sets an endpoint's entry; health is active, leaving or left. */
    synchronized void set(String host, String dial, String site, String health) {
        String entry = "{\"host\":\"" + host + "\",\"dial\":\"" + dial + "\",\"site\":\"" + site
                + "\",\"class\":\"big-box\",\"block\":0,\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":0}";
        version++;
        if (health.equals("left")) {
            entries.remove(host);
        } else {
            entries.put(host, entry);
        }
        changes.add("{\"seq\":" + version + ",\"whole\":false,\"hosts\":[" + entry + "]}\n");
        notifyAll();
    }

    /** The whole list as it is now. */
    synchronized String whole() {
        return "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[" + String.join(",", entries.values()) + "]}\n";
    }

    @Override
    void serve(Socket socket) throws Exception {
        InputStream in = Resp.buffered(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        while (true) {
            String path = readHead(in);
            if (path == null) {
                return;
            }
            if (path.contains("follow=1")) {
                watch(out);
                return;
            }
            byte[] body = Resp.ascii(whole());
            out.write(Resp.ascii("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                    + "\r\n\r\n"));
            out.write(body);
        }
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.append((char) next);
        }
        return head.substring(0, head.indexOf("\r\n"));
    }

    /** The first object is the whole list: that is allowed, and simple. */
    private void watch(OutputStream out) throws Exception {
        out.write(Resp.ascii("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"));
        int told;
        String next;
        synchronized (this) {
            told = changes.size();
            next = whole();
        }
        while (true) {
            out.write(Resp.ascii(Integer.toHexString(next.length()) + "\r\n" + next + "\r\n"));
            synchronized (this) {
                if (told == changes.size()) {
                    wait(EMPTY_LINE_MS);
                }
                next = told < changes.size() ? changes.get(told++) : "\n";
            }
        }
    }
}
