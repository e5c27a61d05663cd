import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What each case has: the record, discovery, the counter and four place servers, all on loopback addresses. */
final class Harness implements AutoCloseable {
    static final int SERVERS = 4;
    /** Half a second after its time a request is lost, and each limit is 50 ms longer on sockets. */
    static final int TOO_LATE_MS = 550;

    /** A run that takes longer could not run: it is ended, with all that it has started. */
    private static final int LONGEST_RUN_MS = 110_000;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Record record;
    final Discovery discovery = new Discovery();
    final Counter counter = new Counter();
    private final Path root;
    private final Path temporary;
    private final List<Gateway> gateways = new ArrayList<>();

    /** The arguments are the repository, a temporary folder, and the file of the record. */
    Harness(String[] args) throws IOException {
        root = Path.of(args[0]);
        temporary = Path.of(args[1]);
        record = new Record(Path.of(args[2]));
        record.say(trouble ? "with the disruption" : "without the disruption");
        discovery.start();
        counter.start();
        Service.daemon(() -> {
            Thread.sleep(LONGEST_RUN_MS);
            System.exit(2);
        });
    }

    /** Starts a place server, and lists it. */
    void list(PlaceServer server) {
        server.start();
        discovery.set(server.host, server.address(), "hall-a", "active");
    }

    /** A private, empty folder for the state of a gateway. */
    Path newState() throws IOException {
        return Files.createTempDirectory(temporary, "state");
    }

    /** Starts a gateway by the deploy file, which knows the list as it is now; control may be null. */
    Gateway start(String listen, Path state, String control) throws IOException {
        String config = Deployment.config("n0", listen, discovery.address(), counter.address(), discovery.whole());
        Gateway gateway = new Gateway(root, temporary, state, "n0", listen, control, config);
        gateways.add(gateway);
        record.add("started the gateway, process %d", gateway.process.pid());
        return gateway;
    }

    @Override
    public void close() throws IOException {
        gateways.forEach(Gateway::close);
        discovery.close();
        counter.close();
        record.close();
    }
}
