package quotagateway.startup;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import quotagateway.admin.AdminServer;

/**
 * Stand-ins on loopback for one start and stop of a gateway at build time, so that the JVM can write an archive of the
 * classes that a start loads. The results of the run itself are not kept.
 */
public final class StartupRecording implements AutoCloseable {
    private static final int BACKLOG = 50;
    private static final int READ_BUFFER_BYTES = 1024;
    private static final String ENDPOINT = "s";

    private final ServerSocket serverSocket = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final Path configFile = Files.createTempFile("startup-recording", ".json");

    /** Starts the stand-ins; throws {@link IOException} if a socket or file cannot be created. */
    public StartupRecording() throws IOException {
        String list = endpointList(serverSocket.getLocalPort());
        Files.writeString(configFile, configuration(serverSocket.getLocalPort(), list));
        startDaemon(() -> acceptConnections(discoveryResponse(list)));
    }

    /** Returns the environment for the gateway to start with. */
    public Map<String, String> environment() {
        return Map.of("EDGE_CONFIG", configFile.toString());
    }

    /** Sends one command as a client, and calls to the admin endpoint. */
    public void sendSampleCalls(InetSocketAddress clientAddress, InetSocketAddress adminAddress) throws IOException {
        try (Socket client = new Socket(clientAddress.getAddress(), clientAddress.getPort())) {
            client.getOutputStream().write("*1\r\n$4\r\nPING\r\n".getBytes(StandardCharsets.US_ASCII));
            client.getInputStream().read();
        }
        callAdmin(adminAddress, "GET " + AdminServer.HEALTH_PATH);
        callAdmin(adminAddress, "GET " + AdminServer.METRICS_PATH);
        callAdmin(adminAddress, "POST " + AdminServer.UNCORDON_PATH + ENDPOINT);
        Files.delete(configFile); // not in close(), as the process exits before that
    }

    @Override
    public void close() throws IOException {
        serverSocket.close();
    }

    private static void callAdmin(InetSocketAddress address, String call) throws IOException {
        try (Socket operator = new Socket(address.getAddress(), address.getPort())) {
            operator.getOutputStream()
                    .write((call + " HTTP/1.1\r\nHost: edge\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            operator.getInputStream().readAllBytes();
        }
    }

    /**
     * Accepts connections of discovery, the counter and endpoints, which share one port; HTTP requests are calls to
     * discovery.
     */
    private void acceptConnections(byte[] discoveryResponse) {
        try {
            while (true) {
                Socket connection = serverSocket.accept();
                startDaemon(() -> answerDiscoveryCalls(connection, discoveryResponse));
            }
        } catch (IOException e) {
            // the server socket is closed: the recording has ended
        }
    }

    private static void answerDiscoveryCalls(Socket connection, byte[] response) {
        try (connection) {
            InputStream input = connection.getInputStream();
            byte[] buffer = new byte[READ_BUFFER_BYTES];
            for (int length = input.read(buffer); length >= 0; length = input.read(buffer)) {
                if (new String(buffer, 0, length, StandardCharsets.US_ASCII).startsWith("GET")) {
                    connection.getOutputStream().write(response);
                }
            }
        } catch (IOException e) {
            // the gateway has closed the connection
        }
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    private static byte[] discoveryResponse(String list) {
        return ("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                .getBytes(StandardCharsets.US_ASCII);
    }

    private static String configuration(int port, String list) {
        return String.format("""
        {"name":"startup-recording","listen":"127.0.0.1:0","control":"127.0.0.1:0","discovery":"127.0.0.1:%1$d",
         "counter":"127.0.0.1:%1$d","seed":"1","known":%2$s,
         "settings":{"rank":0,"group_size":2,"tick":4,"feedback":{"fields":["utilization"]},
          "limits":{"probing":true,"cancelling":true,"retry_after":true,"send_cap":5,"max_retry_after":2000},
          "family_info":{"shared_counter":true,"most_units":2,"count_limit":80},
          "contract":{"drain_grace":250,"cold_share":0.2,"warm_after":18000,"overload_factor":3,
           "overload_for":2000},
          "request_classes":[{"name":"read","effect":"read_like","aim":600,"hard_limit":200,"worth":1},
           {"name":"write","effect":"idempotency_key","group":"cell","aim":800,"hard_limit":200,"worth":2,
            "repeat_window":7500}],
          "tariffs":[{"name":"plan","per_second":8,"depth":8,"price":1}]}}""", port, list);
    }

    private static String endpointList(int port) {
        return String.format("""
        {"seq":1,"whole":true,"hosts":[{"host":"%s","dial":"127.0.0.1:%d","site":"a","class":"m","block":1,\
        "health":"active","share":1.0,"born_ms":0}]}
        """, ENDPOINT, port);
    }
}
