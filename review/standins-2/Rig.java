package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** A small deployment on loopback, and the frame of a case: its record, its exit code and its end. */
final class Rig {
    /** Exit codes of a case's program, apart from those of a JVM that failed; the script makes 0, 1 and 2 of them. */
    static final int HELD = 20;

    static final int BROKEN = 21;
    static final int NOT_RUN = 22;

    static final String CUSTOMER = "00000000b4d65521";
    private static final int MAX_SECONDS = 115;
    private static final List<Process> STARTED = new CopyOnWriteArrayList<>();

    interface Case {
        /** Returns whether the rule held. */
        boolean run(Rig rig) throws Exception;
    }

    interface Task {
        void run() throws Exception;
    }

    final Record record;
    final Path root;
    final Path folder;
    final Agent agent;
    final Counter counter;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    private Rig(Path root, Path recordFile, Path folder) throws IOException {
        this.root = root;
        this.folder = folder;
        record = new Record(recordFile);
        agent = new Agent(record);
        counter = new Counter();
    }

    /** Runs a case and exits: args are the repository's root and the record's file. */
    static void main(String[] args, Case test) throws Exception {
        Path folder = Files.createTempDirectory("case");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> end(folder)));
        Rig rig = new Rig(Path.of(args[0]).toAbsolutePath().normalize(), Path.of(args[1]), folder);
        thread(() -> {
            Thread.sleep(MAX_SECONDS * 1000L);
            rig.record.add("result: not run, out of time");
            System.exit(NOT_RUN);
        });
        rig.record.add("trouble: " + (rig.trouble ? "yes" : "no"));
        int code = NOT_RUN;
        try {
            code = test.run(rig) ? HELD : BROKEN;
            rig.record.add("result: the rule " + (code == HELD ? "held" : "was broken"));
        } catch (Exception e) {
            rig.record.add("result: not run: " + e);
            e.printStackTrace();
        }
        System.exit(code);
    }

    static Thread thread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // its connection has ended
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Runs tasks side by side to their ends; throws what one of them threw, as the case could not run then. */
    static void all(List<Task> tasks) throws Exception {
        List<Exception> failures = new CopyOnWriteArrayList<>();
        List<Thread> threads = tasks.stream()
                .map(task -> thread(() -> {
                    try {
                        task.run();
                    } catch (Exception e) {
                        failures.add(e);
                    }
                }))
                .toList();
        for (Thread each : threads) {
            each.join();
        }
        if (!failures.isEmpty()) {
            throw failures.get(0);
        }
    }

    static void onExit(Process process) {
        STARTED.add(process);
    }

    private static void end(Path folder) {
        STARTED.forEach(Process::destroyForcibly);
        try {
            for (Process process : STARTED) {
                process.waitFor();
            }
            if (System.getenv("KEEP_LOGS") != null) {
                return;
            }
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.deleteIfExists(file);
                }
            }
        } catch (IOException | InterruptedException e) {
            System.err.println(e);
        }
    }

    /** Lists a place server as active. */
    void list(PlaceServer... servers) {
        for (PlaceServer server : servers) {
            agent.set(server.name(), server.address(), "active");
        }
    }

    /** Writes a configuration; known is the list in discovery's form, or null. */
    Path configure(String name, int rank, int gateways, String listen, String known) throws IOException {
        Path file = folder.resolve("config-" + name + ".json");
        String text = Stream.of(
                        "{'name':'" + name + "','listen':'" + listen + "','discovery':'" + agent.address()
                                + "','seed':'" + Long.toHexString(System.nanoTime()) + "',",
                        "'limits':{'cores':1.0,'memory_mb':192,'sockets':1024},'peers':[],",
                        "'counter':'" + counter.address() + "','known':" + (known == null ? "null" : "KNOWN") + ",",
                        "'settings':" + SETTINGS.replace("RANK", "" + rank).replace("GATEWAYS", "" + gateways) + "}")
                .collect(Collectors.joining("\n"))
                .replace('\'', '"');
        Files.writeString(file, known == null ? text : text.replace("KNOWN", known));
        return file;
    }

    Edge start(String name, String listen, Path config) throws IOException {
        return Edge.start(record, root, name, listen, agent.address(), config, folder.resolve("tmp-" + name));
    }

    /** One gateway with the place servers listed, ready; the address is listen. */
    Edge startOnly(String listen) throws Exception {
        Edge edge = start("n0", listen, configure("n0", 0, 1, listen, agent.whole()));
        edge.awaitReady();
        return edge;
    }

    /** The attributes of a request. */
    static String attributes(String requestClass, int deadlineMs) {
        return "c=" + requestClass + ",t=premium,d=" + deadlineMs
                + (requestClass.equals("hold-place") ? ",k=" + Client.newId() : "") + ",units=1,spread=1,first=0";
    }

    /** Settings within the ranges of the site zaria-main, in the words of the wire page. */
    private static final String SETTINGS = """
            {'azs':['hall-a','hall-b','hall-c'],'client_habits':{'marks_retry':false},
            'contract':{'ask_within':10000.0,'cold_share':0.25,'drain_grace':250.0,'grace_to_answer':16.0,
             'overload_factor':3.0,'overload_for':1000.0,'warm_after':13000.0},
            'discovery':'pushed','family':'gate',
            'family_info':{'count_limit':80.0,'counter_price':0.02,'meter_period':0.0,'most_units':6,
             'peer_in_per_s':100.0,'shared_counter':true,'trued_up':false},
            'feedback':{'fields':['qps','inflight','util'],'via':'answers'},
            'goal':{'whole':0.55,'worst_class':0.0,'worst_tenant':0.25,'worst_window':0.2},
            'group_size':GATEWAYS,'kinds':['big-box','small-box'],
            'limits':{'cancelling':true,'connect_timeout':250.0,'cpu_us_per_request':0.0,'cpu_us_per_s':500000,
             'keepalive':15000.0,'max_open':20000,'max_retry_after':1000.0,'parallel_tries':false,'peers':true,
             'probing':true,'retry_after':true,'send_cap':3,'streams_per_conn':32},
            'my_zone':'hall-a',
            'prices':{'connection':0.0,'cross_zone':0.01,'discovery':0.0,'handshake':0.0,'late_fail':0.05,
             'moves':0.0,'origin':0.0,'peer':0.01,'probe':0.01,'waste':0.08},
            'rank':RANK,
            'request_classes':[
             {'aim':500.0,'effect':'read_like','group':'all','hard_limit':2000.0,'late_share':0.0,
              'name':'check-places','repeat_window':5000.0,'stream':false,'worth':1.0},
             {'aim':1200.0,'effect':'idempotency_key','group':'all','hard_limit':4000.0,'late_share':0.0,
              'name':'hold-place','repeat_window':8000.0,'stream':false,'worth':2.0},
             {'aim':1500.0,'effect':'non_idempotent','group':'all','hard_limit':4000.0,'late_share':0.0,
              'name':'confirm-enrol','repeat_window':5000.0,'stream':false,'worth':5.0}],
            'tariffs':[
             {'cap_slack':0.0,'ceiling_burst':0.0,'depth':28.0,'extra_worth':0.0,'hard_rate':0.0,'name':'basic',
              'open':0,'over_cost':1.2,'per_second':6.7,'price':1.3},
             {'cap_slack':0.0,'ceiling_burst':0.0,'depth':139.0,'extra_worth':0.0,'hard_rate':0.0,'name':'premium',
              'open':0,'over_cost':1.2,'per_second':50.0,'price':1.4}],
            'tick':4.0,'tier':0,'tiers':['place-servers'],'weight_kind':'none'}""";
}
