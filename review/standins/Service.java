import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A stand-in that listens on a loopback port and gives each connection a thread. */
abstract class Service implements AutoCloseable {
    private static final int BACKLOG = 256;
    protected final ServerSocket listener;
    protected final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    Service() throws IOException {
        listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    }

    void start() {
        daemon(() -> {
            while (!listener.isClosed()) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                connections.add(socket);
                daemon(() -> {
                    try (socket) {
                        serve(socket);
                    } finally {
                        connections.remove(socket);
                    }
                });
            }
        });
    }

    abstract void serve(Socket socket) throws Exception;

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Some work of a thread; the end of a connection ends it. */
    interface Work {
        void run() throws Exception;
    }

    static Thread daemon(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException | InterruptedException e) {
                // the connection or the run has ended
            } catch (Exception e) {
                e.printStackTrace();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : connections) {
            socket.close();
        }
    }
}
