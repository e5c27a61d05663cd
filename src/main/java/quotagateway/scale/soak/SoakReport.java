package quotagateway.scale.soak;

import java.util.List;
import java.util.Map;

/**
 * What came of a run of the soak.
 *
 * @param processes how many node processes were started
 * @param ends how many requests ended in each way
 * @param longestLag longest stall (ms) of the run's own event loops
 * @param violations broken rules and unexpected faults; none for a good run
 */
record SoakReport(
        long seed,
        SoakSettings settings,
        SoakRun.Size size,
        int faults,
        int processes,
        Map<ClientRequest.End, Integer> ends,
        double longestLag,
        List<Violation> violations) {
    @Override
    public String toString() {
        return "seed " + seed + ": " + size.nodes() + " nodes, " + processes + " processes, "
                + size.servers() + " servers, " + faults + " faults, " + settings + "; requests " + ends
                + "; own lag at most " + Math.round(longestLag) + " ms; violations " + violations.size();
    }
}
