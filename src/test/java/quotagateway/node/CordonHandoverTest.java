package quotagateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import quotagateway.admin.CordonResult;
import quotagateway.transport.ManualEventLoop;

/**
 * Guards against a cordon that one of the two processes of an upgrade never hears of: plays every order of an
 * operator's calls at the old process and at the new one, their polls, their accesses to the file, and what follows on
 * their loops.
 */
class CordonHandoverTest {
    private static final double POLL_INTERVAL_MS = 200;

    @TempDir
    Path folder;

    /** What a process does next. */
    private enum Step {
        CALL,
        POLL,
        FILE_ACCESS,
        LOOP
    }

    /** Runs the accesses to the file when the test says so. */
    private static final class ManualExecutor extends AbstractExecutorService {
        private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();

        @Override
        public void execute(Runnable task) {
            tasks.add(task);
        }

        void runNext() {
            if (!tasks.isEmpty()) {
                tasks.poll().run();
            }
        }

        @Override
        public void shutdown() {}

        @Override
        public List<Runnable> shutdownNow() {
            return List.of();
        }

        @Override
        public boolean isShutdown() {
            return false;
        }

        @Override
        public boolean isTerminated() {
            return false;
        }

        @Override
        public boolean awaitTermination(long timeout, TimeUnit unit) {
            return true;
        }
    }

    /** One of the two processes, with what applies to its policy. */
    private final class GatewayProcess implements CordonTarget {
        final ManualEventLoop loop = new ManualEventLoop();
        final ManualExecutor files = new ManualExecutor();
        final CordonFile file = new CordonFile(folder, "n0");
        final CordonStore store = new CordonStore(loop, this, event -> {}, file, files);
        final List<CordonResult> results = new ArrayList<>();
        Set<String> applied = new TreeSet<>();

        GatewayProcess() {
            store.start(store.load());
            files.runNext();
            loop.runPending();
        }

        @Override
        public boolean setCordoned(String endpoint, boolean cordoned) {
            if (cordoned) {
                applied.add(endpoint);
            } else {
                applied.remove(endpoint);
            }
            return true;
        }

        @Override
        public void replaceCordons(Set<String> endpoints) {
            applied = new TreeSet<>(endpoints);
        }

        void run(Step step, String endpoint, boolean cordoned) {
            switch (step) {
                case CALL -> store.setCordoned(endpoint, cordoned, results::add);
                case POLL -> loop.advance(POLL_INTERVAL_MS);
                case FILE_ACCESS -> files.runNext();
                case LOOP -> loop.runPending();
            }
        }

        void settle() {
            for (int i = 0; i < 3; i++) {
                run(Step.POLL, "", false);
                while (!files.tasks.isEmpty()) {
                    files.runNext();
                    loop.runPending();
                }
            }
        }
    }

    /** Returns all orders of these steps. */
    private static List<List<Step>> orders(List<Step> steps) {
        if (steps.isEmpty()) {
            return List.of(List.of());
        }
        List<List<Step>> orders = new ArrayList<>();
        for (Step first : Set.copyOf(steps)) {
            List<Step> rest = new ArrayList<>(steps);
            rest.remove(first);
            for (List<Step> order : orders(rest)) {
                List<Step> whole = new ArrayList<>(List.of(first));
                whole.addAll(order);
                orders.add(whole);
            }
        }
        return orders;
    }

    private void clearFolder() throws IOException {
        Files.deleteIfExists(folder.resolve("cordons-n0"));
    }

    /** Plays one order of the steps of both; a bit of {@code merge} says which of them does its next step. */
    private void play(List<Step> oldSteps, List<Step> newSteps, int merge) throws IOException {
        clearFolder();
        GatewayProcess oldProcess = new GatewayProcess();
        GatewayProcess newProcess = new GatewayProcess();
        int oldNext = 0;
        int newNext = 0;
        for (int i = 0; i < oldSteps.size() + newSteps.size(); i++) {
            if ((merge >> i & 1) == 0) {
                oldProcess.run(oldSteps.get(oldNext++), "s0", true);
            } else {
                newProcess.run(newSteps.get(newNext++), "s1", true);
            }
        }
        oldProcess.settle();
        newProcess.settle();
        oldProcess.settle();
        String order = oldSteps + " " + newSteps + " " + Integer.toBinaryString(merge);
        assertEquals(List.of(CordonResult.DONE), oldProcess.results, order);
        assertEquals(List.of(CordonResult.DONE), newProcess.results, order);
        Set<String> expected = Set.of("s0", "s1");
        assertEquals(expected, oldProcess.applied, order);
        assertEquals(expected, newProcess.applied, order);
        assertEquals(Optional.of(expected), newProcess.file.read(), order);
    }

    @Test
    void callsAtBothProcessesApplyToBothInEveryOrder() throws IOException {
        List<Step> oldSteps = List.of(Step.CALL, Step.FILE_ACCESS, Step.LOOP);
        int orders = 0;
        for (List<Step> newSteps :
                orders(List.of(Step.CALL, Step.POLL, Step.FILE_ACCESS, Step.FILE_ACCESS, Step.LOOP))) {
            int steps = oldSteps.size() + newSteps.size();
            for (int merge = 0; merge < 1 << steps; merge++) {
                if (Integer.bitCount(merge) == newSteps.size()) {
                    play(oldSteps, newSteps, merge);
                    orders++;
                }
            }
        }
        assertEquals(60 * 56, orders, "orders of the new process times the ways to merge both");
    }

    private static void finish(GatewayProcess process, String endpoint, boolean cordoned) {
        process.run(Step.CALL, endpoint, cordoned);
        while (!process.files.tasks.isEmpty()) {
            process.run(Step.FILE_ACCESS, endpoint, cordoned);
        }
        process.run(Step.LOOP, endpoint, cordoned);
    }

    /** A call out at one process and its call back at the other one, right behind the first one's yes. */
    @Test
    void callBackAtTheOtherProcessUndoesACordon() {
        GatewayProcess oldProcess = new GatewayProcess();
        GatewayProcess newProcess = new GatewayProcess();
        finish(oldProcess, "s0", true);
        finish(newProcess, "s0", false);
        finish(oldProcess, "s1", true);
        finish(newProcess, "s1", true);
        finish(oldProcess, "s1", false);
        finish(newProcess, "s2", true);
        oldProcess.settle();
        newProcess.settle();
        assertEquals(Set.of("s2"), oldProcess.applied);
        assertEquals(Set.of("s2"), newProcess.applied);
        assertEquals(Optional.of(Set.of("s2")), newProcess.file.read());
    }

    /**
     * Calls at one process for the same endpoint, before the first of them is stored: the last one applies all along.
     */
    @Test
    void lastOfSeveralCallsForAnEndpointApplies() {
        GatewayProcess process = new GatewayProcess();
        process.run(Step.CALL, "s0", true);
        process.run(Step.CALL, "s0", false);
        process.run(Step.CALL, "s0", true);
        while (!process.files.tasks.isEmpty()) {
            process.run(Step.FILE_ACCESS, "s0", true);
            process.run(Step.LOOP, "s0", true);
            assertEquals(Set.of("s0"), process.applied);
        }
        process.settle();
        assertEquals(Set.of("s0"), process.applied);
        assertEquals(Optional.of(Set.of("s0")), process.file.read());
    }

    /** While the file cannot be read or written, calls apply and say so, and are stored once it can be. */
    @Test
    void callsDuringAnOutageOfTheFileAreStoredLater() throws IOException {
        GatewayProcess oldProcess = new GatewayProcess();
        GatewayProcess newProcess = new GatewayProcess();
        finish(oldProcess, "s0", true);
        newProcess.settle();
        Path file = folder.resolve("cordons-n0");
        Path away = folder.resolve("away");
        Files.move(file, away);
        Files.createDirectory(file); // can neither be read nor written as a file
        finish(newProcess, "s1", true);
        assertEquals(List.of(CordonResult.NOT_PERSISTED), newProcess.results);
        newProcess.settle();
        assertEquals(Set.of("s0", "s1"), newProcess.applied);
        Files.delete(file);
        Files.move(away, file);
        newProcess.settle();
        oldProcess.settle();
        assertEquals(Set.of("s0", "s1"), oldProcess.applied);
        assertEquals(Set.of("s0", "s1"), new GatewayProcess().applied, "a process that starts now");
    }
}
