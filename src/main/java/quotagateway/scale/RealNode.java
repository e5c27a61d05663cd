package quotagateway.scale;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A real edge node: the process that the deploy file's run line starts, and what the system tells of it. */
final class RealNode implements AutoCloseable {
    private static final Pattern NUMBER = Pattern.compile("\\d+");
    private static final int READY_SECONDS = 30;
    private static final int END_SECONDS = 6;

    /** It runs but never answers: a figure of its own, where other sizes work. */
    static final class NodeNotReadyException extends RunNotPossibleException {
        private static final long serialVersionUID = 1L;

        NodeNotReadyException(String what) {
            super(what);
        }
    }

    private final Process process;
    private final Path folder;
    final InetSocketAddress address;
    double readySeconds;

    private RealNode(Process process, Path folder, InetSocketAddress address) {
        this.process = process;
        this.folder = folder;
        this.address = address;
    }

    /** Starts a node among the peers at these ports; known is the list that it had, as JSON, or null. */
    static RealNode start(Path root, Map<String, String> settings, String known, int agent, int counter, long seed)
            throws IOException, InterruptedException {
        int port;
        try (java.net.ServerSocket free = new java.net.ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        NodeLaunch.Addresses at =
                new NodeLaunch.Addresses("127.0.0.1:" + port, "127.0.0.1:" + agent, "127.0.0.1:" + counter);
        List<String> command = NodeLaunch.command(root);
        Path folder = Files.createTempDirectory("quota-gateway-scale");
        String name = "n" + settings.get("rank");
        Path config = folder.resolve("config.json");
        Files.writeString(config, NodeLaunch.configuration(name, at, seed, known, settings));
        ProcessBuilder builder = new ProcessBuilder(command)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("log").toFile());
        builder.environment()
                .putAll(NodeLaunch.environment(name, at, config, Files.createDirectory(folder.resolve("tmp"))));
        long from = System.nanoTime();
        Process process = builder.start();
        RealNode node = new RealNode(process, folder, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        Runtime.getRuntime().addShutdownHook(new Thread(node::kill)); // SIGINT ends it too
        node.awaitReady();
        node.readySeconds = (System.nanoTime() - from) / 1e9;
        return node;
    }

    private void awaitReady() throws IOException, InterruptedException {
        long end = System.nanoTime() + READY_SECONDS * 1_000_000_000L;
        while (System.nanoTime() < end) {
            if (!process.isAlive()) {
                String logLine = firstLogLine();
                close();
                throw new RunNotPossibleException("the edge node has ended at once: " + logLine);
            }
            try (Socket ping = new Socket()) {
                ping.connect(address, 1000);
                ping.setSoTimeout(1000);
                ping.getOutputStream().write(StandInLoops.command("PING").getBytes(StandardCharsets.US_ASCII));
                if (ping.getInputStream().read() == '+') {
                    return;
                }
            } catch (ConnectException e) {
                Thread.sleep(5); // not up yet
            } catch (IOException e) {
                Thread.sleep(5);
            }
        }
        close();
        throw new NodeNotReadyException("the edge node is not ready within " + READY_SECONDS + " s");
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** The first line of what it has written. */
    String firstLogLine() {
        try (Stream<String> lines = Files.lines(folder.resolve("log"), StandardCharsets.ISO_8859_1)) {
            return lines.findFirst().orElse("no word");
        } catch (IOException e) {
            return "no log";
        }
    }

    /** CPU so far (us), all threads: the scheduler's own count, as clock ticks are too coarse. */
    double cpuMicros() throws IOException {
        double sum = 0;
        try (DirectoryStream<Path> tasks = Files.newDirectoryStream(Path.of("/proc/" + process.pid() + "/task"))) {
            for (Path task : tasks) {
                try {
                    sum += Double.parseDouble(
                                    Files.readString(task.resolve("schedstat")).split(" ", 0)[0])
                            / 1000;
                } catch (NoSuchFileException e) {
                    // a thread that has just ended
                }
            }
        }
        return sum;
    }

    /** Memory that it holds (MB). */
    double residentMemoryMb() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            Matcher kb = NUMBER.matcher(line);
            if (line.startsWith("VmRSS:") && kb.find()) {
                return Double.parseDouble(kb.group()) / 1024;
            }
        }
        throw new IOException("no VmRSS of " + process.pid());
    }

    /** Descriptors that it holds. */
    long openDescriptors() throws IOException {
        try (Stream<Path> all = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            return all.count();
        }
    }

    @Override
    public void close() throws IOException {
        process.destroy();
        try {
            if (!process.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
        NodeLaunch.delete(folder);
    }

    /** At the end of the tool itself: at once, and nothing is left. */
    private void kill() {
        try {
            process.destroyForcibly().waitFor();
            NodeLaunch.delete(folder);
        } catch (IOException | InterruptedException e) {
            System.err.println("scale: " + folder + " is left");
        }
    }
}
