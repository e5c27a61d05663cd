package quotagateway.scale.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A TCP proxy on loopback that misbehaves on demand. What a mode does begins with the next bytes, also on
 * connections that are open. Two daemon threads a connection carry the bytes.
 */
public final class FaultProxy implements AutoCloseable {
    /** What happens to connections and bytes. */
    public enum Mode {
        /** All goes through. */
        PASS,
        /** Requests get through; of what comes back nothing does, until the mode changes. */
        HOLD_ANSWERS,
        /** Nothing gets through in either direction, until the mode changes. */
        SILENT,
        /** New connections are reset at once. */
        RESET_NEW
    }

    private static final int BACKLOG = 128;
    private static final int BUFFER = 16 * 1024;

    private final ServerSocket listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile InetSocketAddress target;
    private volatile Mode mode = Mode.PASS;
    private volatile boolean abandoned;
    private volatile boolean closed;

    /** Listens on a free port of the loopback address, before the target. */
    public FaultProxy(InetSocketAddress target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        thread("fault proxy", this::accept);
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** As host:port. */
    public String dial() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    public void mode(Mode next) {
        synchronized (this) {
            mode = next;
            notifyAll();
        }
    }

    /** Sets whether the service has moved away from this address, so that no configuration names it any more. */
    void setAbandoned(boolean abandoned) {
        this.abandoned = abandoned;
    }

    boolean isAbandoned() {
        return abandoned;
    }

    /** Resets each connection that is open, on both sides. */
    public void resetAll() {
        open.forEach(FaultProxy::reset);
    }

    private static void thread(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!closed) {
            try {
                take(listener.accept());
            } catch (IOException e) {
                // closed, or a client that went before it was taken
            }
        }
    }

    private void take(Socket near) throws IOException {
        if (mode == Mode.RESET_NEW) {
            reset(near);
            return;
        }
        Socket far = new Socket();
        try {
            far.connect(target);
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
        } catch (IOException e) {
            reset(near);
            far.close();
            return;
        }
        open.add(near);
        open.add(far);
        thread("fault proxy, requests", () -> carry(near, far, true));
        thread("fault proxy, answers", () -> carry(far, near, false));
    }

    private void carry(Socket from, Socket to, boolean requests) {
        byte[] buffer = new byte[BUFFER];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                awaitPassage(requests);
                out.write(buffer, 0, read);
            }
            awaitPassage(requests);
            to.shutdownOutput();
        } catch (IOException e) {
            reset(from);
            reset(to);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            forget(from, to);
        }
    }

    private synchronized void awaitPassage(boolean requests) throws InterruptedException {
        while (!closed && (mode == Mode.SILENT || (mode == Mode.HOLD_ANSWERS && !requests))) {
            wait();
        }
    }

    /** Each direction ends by itself; the second one closes. */
    private void forget(Socket from, Socket to) {
        if (from.isOutputShutdown() || from.isClosed()) {
            open.remove(from);
            open.remove(to);
            close(from);
            close(to);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // closed already
        }
        close(socket);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // it is closed all the same
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
        mode(Mode.PASS);
        resetAll();
    }
}
