package quotagateway.node;

import java.io.BufferedOutputStream;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Measures a node, started with the flags of the deploy file, that reads a list of ENDPOINTS endpoints: a cached list
 * if {@code known} is given, then a complete list from discovery, three times. Not a test; run from the root: {@code
 * EndpointListMemoryBenchmark [ENDPOINTS] [known]}. Prints a CSV line for each step: wall and CPU time (ms) since the
 * previous step, resident memory and its peak (MB).
 */
final class EndpointListMemoryBenchmark {
    private static final int CLOCK_TICK_MS = 10;
    private static long previousCpuMs;
    private static long previousWallNanos = System.nanoTime();

    private EndpointListMemoryBenchmark() {}

    public static void main(String[] args) throws Exception {
        int endpointCount = args.length > 0 ? Integer.parseInt(args[0]) : 200_000;
        Path folder = Files.createTempDirectory("list-memory");
        try (ServerSocket discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                ServerSocket counter = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Path config = folder.resolve("config.json");
            try (PrintStream out = new PrintStream(new BufferedOutputStream(Files.newOutputStream(config)))) {
                int discoveryPort = discovery.getLocalPort();
                int counterPort = counter.getLocalPort();
                out.printf("""
                    {"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","counter":"127.0.0.1:%d",
                     "limits":{"memory_mb":192,"sockets":1024},
                     "settings":{"rank":0,"group_size":8200,"tick":4,"my_zone":"z0",
                      "family_info":{"shared_counter":true},"request_classes":[{"name":"r",
                       "effect":"read_like","aim":600,"hard_limit":2000}],
                      "tariffs":[{"name":"p","per_second":8,"depth":8}]},"known":""", discoveryPort, counterPort);
                if (args.length > 1) {
                    printList(out, endpointCount, 1);
                } else {
                    out.print("null");
                }
                out.print("}");
            }
            Process node = start(config, folder);
            try {
                System.out.println("servers,step,wall_ms,cpu_ms,rss_mb,peak_mb");
                answerListCalls(discovery, node, endpointCount);
            } finally {
                node.destroy();
                node.waitFor();
            }
        }
    }

    private static void printList(PrintStream out, int endpointCount, int seq) {
        out.print("{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[");
        for (int i = 0; i < endpointCount; i++) {
            out.print((i > 0 ? ",\n" : "") + "{\"host\":\"s-" + Integer.toHexString(0x5be2a07c + i)
                    + "\",\"dial\":\"127." + (1 + (i >> 16)) + "." + (i >> 8 & 255) + "." + (i & 255)
                    + ":6379\",\"site\":\"z" + i % 18 + "\",\"class\":\"m" + i % 5 + "\",\"block\":" + i / 40
                    + ",\"health\":\"active\",\"share\":1.0,\"born_ms\":0}");
        }
        out.print("]}\n");
        out.flush();
    }

    private static Process start(Path config, Path folder) throws IOException {
        List<String> command = new ArrayList<>(
                List.of(System.getProperty("java.home") + File.separator + "bin" + File.separator + "java"));
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            for (String word : line.startsWith("run = ") ? line.split(" ") : new String[0]) {
                if (word.startsWith("-X") || (word.startsWith("-Dio.netty") && !word.contains("$"))) {
                    command.add(word);
                }
            }
        }
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "quotagateway.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT);
        builder.environment().put("EDGE_CONFIG", config.toString());
        builder.environment().put("TMPDIR", folder.toString());
        return builder.start();
    }

    /** Answers three calls for the list; the call that follows a list shows that the node has read the list. */
    private static void answerListCalls(ServerSocket discovery, Process node, int endpointCount) throws IOException {
        int seq = 2;
        for (int round = 0; round < 3; round++) {
            try (Socket socket = discovery.accept()) {
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                in.readLine();
                printStep(node, endpointCount, round == 0 ? "asks" : "asks again");
                OutputStream raw = new BufferedOutputStream(socket.getOutputStream(), 1 << 16);
                PrintStream out = new PrintStream(raw);
                // the list ends with the connection
                out.print("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
                printList(out, endpointCount, seq++);
                printStep(node, endpointCount, "list written");
            }
        }
    }

    private static void printStep(Process node, int endpointCount, String stepName) throws IOException {
        Path procFolder = Path.of("/proc/" + node.pid());
        String stat = Files.readString(procFolder.resolve("stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", 0);
        long cpu = CLOCK_TICK_MS * (Long.parseLong(fields[11]) + Long.parseLong(fields[12]));
        long wall = System.nanoTime();
        System.out.println(endpointCount + "," + stepName + "," + (wall - previousWallNanos) / 1_000_000 + ","
                + (cpu - previousCpuMs) + "," + statusMb(procFolder, "VmRSS:") + "," + statusMb(procFolder, "VmHWM:"));
        previousCpuMs = cpu;
        previousWallNanos = wall;
    }

    private static long statusMb(Path procFolder, String name) throws IOException {
        return Files.readAllLines(procFolder.resolve("status")).stream()
                .filter(l -> l.startsWith(name))
                .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")) / 1024)
                .sum();
    }
}
