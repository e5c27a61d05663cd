package review2;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway: one process, started by the deploy file's run line. */
final class Edge {
    private static final Pattern RUN = Pattern.compile("(?m)^run\\s*=\\s*\"((?:[^\"\\\\]|\\\\.)*)\"");
    private static final int READY_WITHIN_MS = 30_000;
    private final Record record;
    private final String name;
    private final int control;
    private final Process process;

    private Edge(Record record, String name, int control, Process process) {
        this.record = record;
        this.name = name;
        this.control = control;
        this.process = process;
    }

    static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return probe.getLocalPort();
        }
    }

    /** Starts a process; it is ready once {@link #awaitReady} returns. */
    static Edge start(Record record, Path root, String name, String listen, String discovery, Path config, Path folder)
            throws IOException {
        Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("no run line in the deploy file");
        }
        Files.createDirectories(folder);
        int control = freePort();
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1)).directory(root.toFile());
        builder.environment().put("EDGE_NAME", name);
        builder.environment().put("EDGE_LISTEN", listen);
        builder.environment().put("EDGE_DISCOVERY", discovery);
        builder.environment().put("EDGE_CONFIG", config.toString());
        builder.environment().put("EDGE_CONTROL", "127.0.0.1:" + control);
        builder.environment().put("TMPDIR", folder.toString());
        File log = folder.resolveSibling(folder.getFileName() + "-" + control + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(log);
        Process process = builder.start();
        Rig.onExit(process);
        record.add("gateway " + name + " started, process " + process.pid());
        return new Edge(record, name, control, process);
    }

    void awaitReady() throws Exception {
        long end = System.nanoTime() + READY_WITHIN_MS * 1_000_000L;
        while (call("GET", "/admin/health") != 200) {
            if (System.nanoTime() > end || !process.isAlive()) {
                throw new IllegalStateException("gateway " + name + " did not get ready");
            }
            Thread.sleep(50);
        }
        record.add("gateway " + name + " is ready");
    }

    /** A call of an operator; the status, 0 where there is none. */
    int call(String method, String path) {
        try {
            HttpURLConnection call = (HttpURLConnection)
                    URI.create("http://127.0.0.1:" + control + path).toURL().openConnection();
            call.setRequestMethod(method);
            call.setConnectTimeout(1000);
            call.setReadTimeout(1000);
            return call.getResponseCode();
        } catch (IOException e) {
            return 0;
        }
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    void signal(String signal) throws Exception {
        record.add("SIG" + signal + " to gateway " + name);
        new ProcessBuilder("kill", "-" + signal, "" + process.pid()).start().waitFor();
    }

    boolean awaitEnd(long ms) throws InterruptedException {
        return process.waitFor(ms, TimeUnit.MILLISECONDS);
    }
}
