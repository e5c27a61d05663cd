import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One gateway, started by the run line of the deploy file as a process of its own. */
final class Gateway implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("(?m)^run\\s*=\\s*\"((?:[^\"\\\\]|\\\\.)*)\"");
    private static final int READY_MS = 30_000;
    final String listen;
    final Process process;

    /**
     * Starts it; root is the repository, folder a temporary one of the case, state its TMPDIR. The control address may
     * be null.
     */
    Gateway(Path root, Path folder, Path state, String name, String listen, String control, String config)
            throws IOException {
        this.listen = listen;
        Path file = Files.createTempFile(folder, "config", ".json");
        Files.writeString(file, config);
        Matcher run = RUN.matcher(Files.readString(root.resolve("deploy").resolve("balancer.toml")));
        if (!run.find()) {
            throw new IOException("no run line in the deploy file");
        }
        String line = run.group(1).replace("\\\"", "\"").replace("\\\\", "\\");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", line)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(new File(folder.toFile(), name + ".log")));
        builder.environment().put("EDGE_NAME", name);
        builder.environment().put("EDGE_LISTEN", listen);
        builder.environment().put("EDGE_CONFIG", file.toString());
        builder.environment().put("TMPDIR", state.toString());
        if (System.getenv("GATEWAY_LOG") != null) {
            builder.environment().put("EDGE_LOG", System.getenv("GATEWAY_LOG"));
        }
        if (control != null) {
            builder.environment().put("EDGE_CONTROL", control);
        }
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    /** Waits until it answers PING with +PONG. */
    void awaitReady() throws Exception {
        double end = Record.now() + READY_MS;
        while (Record.now() < end && process.isAlive()) {
            try (Client client = new Client(listen)) {
                client.timeout(1000);
                client.send(Resp.command("PING"));
                if ("+PONG".equals(client.read())) {
                    return;
                }
            } catch (IOException e) {
                Thread.sleep(20); // not up yet
            }
        }
        throw new IOException("the gateway did not get ready");
    }

    static String freeAddress() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return "127.0.0.1:" + free.getLocalPort();
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
