package quotagateway.scale.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * One edge node as a process of its own, with its signals and its log. The caller ends it; at the end of this
 * JVM it is killed.
 */
public final class NodeProcess implements AutoCloseable {
    /** The signals that a platform, or a test, sends. */
    public enum Signal {
        TERM,
        HUP,
        KILL
    }

    private static final int PING_TIMEOUT = 1000;
    private static final long PING_PAUSE = 10;

    private final Process process;
    private final Thread killer;
    private final Path log;
    private final InetSocketAddress address;

    private NodeProcess(Process process, Path log, InetSocketAddress address) {
        this.process = process;
        this.log = log;
        this.address = address;
        killer = new Thread(process::destroyForcibly);
        Runtime.getRuntime().addShutdownHook(killer);
    }

    /**
     * Starts a node.
     *
     * @param command what ends in the node's process, by exec where a shell begins it
     * @param directory where it starts
     * @param environment added to this process's own
     * @param log what it writes is appended here
     * @param address where it will listen for clients
     */
    public static NodeProcess start(
            List<String> command, Path directory, Map<String, String> environment, Path log, InetSocketAddress address)
            throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command)
                .directory(directory.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().putAll(environment);
        return new NodeProcess(builder.start(), log, address);
    }

    /** A port of the loopback address that is free at this moment. */
    public static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /** Where it listens for clients. */
    public InetSocketAddress address() {
        return address;
    }

    /** Waits until it answers PING; false where it has ended, or does not within so many milliseconds. */
    public boolean awaitReady(long milliseconds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
        while (isAlive() && System.nanoTime() < end) {
            if (answersPing()) {
                return true;
            }
            Thread.sleep(PING_PAUSE);
        }
        return false;
    }

    private boolean answersPing() {
        try (Socket socket = new Socket()) {
            socket.connect(address, PING_TIMEOUT);
            socket.setSoTimeout(PING_TIMEOUT);
            socket.getOutputStream().write("*1\r\n$4\r\nPING\r\n".getBytes(StandardCharsets.US_ASCII));
            return socket.getInputStream().read() == '+';
        } catch (IOException e) {
            return false; // not up yet
        }
    }

    /** Sends a signal; nothing happens where it has ended. */
    public void signal(Signal signal) {
        switch (signal) {
            case TERM -> process.destroy();
            case KILL -> process.destroyForcibly();
            default -> kill(signal);
        }
    }

    private static Process shell(String command) throws IOException {
        return new ProcessBuilder("/bin/sh", "-c", command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    /** By the shell's own command, as Java has no call for these. */
    private void kill(Signal signal) {
        if (!isAlive()) {
            return;
        }
        try {
            shell("kill -" + signal + " " + process.pid()).waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Stops the process for so many milliseconds. The shell that lets it go on is there before it is stopped: on a busy
     * machine a shell takes seconds to start, and the process would be held up for that long.
     */
    public void pause(long milliseconds) throws IOException, InterruptedException {
        Process continuing = shell("read line; kill -CONT " + process.pid());
        try (Writer line = continuing.outputWriter()) {
            shell("kill -STOP " + process.pid()).waitFor();
            Thread.sleep(milliseconds);
            line.write("now\n");
        }
        continuing.waitFor();
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /** Waits until it has ended; false where it has not within so many milliseconds. */
    public boolean awaitEnd(long milliseconds) throws InterruptedException {
        return process.waitFor(milliseconds, TimeUnit.MILLISECONDS);
    }

    /** Its exit code, once it has ended; 128 and more tell the signal that ended it. */
    public int exitCode() {
        return process.exitValue();
    }

    /** All that it, and the processes before it with this log, have written. */
    public String log() throws IOException {
        return Files.readString(log, StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() {
        try {
            process.destroyForcibly().waitFor();
            Runtime.getRuntime().removeShutdownHook(killer);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IllegalStateException e) {
            // this JVM ends, and the hook runs
        }
    }
}
