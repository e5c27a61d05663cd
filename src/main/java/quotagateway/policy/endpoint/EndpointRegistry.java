package quotagateway.policy.endpoint;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;
import quotagateway.policy.api.PolicyActions;
import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.api.RetryScope;
import quotagateway.policy.slowstart.FleetSizeEstimator;
import quotagateway.policy.statistics.LatencyObjectives;
import quotagateway.policy.timer.EventClock;

/**
 * The endpoints that this gateway knows: all that the lists name ({@link EndpointCatalog}); of those the ones that were
 * used or cordoned, with what was learned of them; and of those the members, which are up, in the gateway's
 * {@link EndpointSubset} and not cordoned. New requests go to members; the host is told who becomes one and who is no
 * longer in use.
 */
public final class EndpointRegistry {
    /** Of so many endpoints that are no members any more the state is kept: after a release they come back. */
    private static final int MAX_FORMER_MEMBERS = 256;

    private final PolicySettings settings;
    private final LatencyObjectives objectives;
    private final EventClock clock;
    private final PolicyActions actions;
    private final Random random;
    private final FleetSizeEstimator fleetSize;
    private final EndpointCatalog catalog;
    private final EndpointSubset subset;
    private final Map<String, Endpoint> known = new LinkedHashMap<>();
    private final TreeMap<String, Endpoint> members = new TreeMap<>();

    public EndpointRegistry(
            PolicySettings settings,
            LatencyObjectives objectives,
            EventClock clock,
            PolicyActions actions,
            Random random,
            FleetSizeEstimator fleetSize) {
        this.settings = settings;
        this.objectives = objectives;
        this.clock = clock;
        this.actions = actions;
        this.random = random;
        this.fleetSize = fleetSize;
        catalog = new EndpointCatalog(settings.nodeCount());
        subset = new EndpointSubset(settings, catalog);
    }

    // ---- lists ----

    /** A complete list, or changes or a part of one. {@link #refresh} has to follow. */
    public void update(List<EndpointDescriptor> endpoints, boolean complete) {
        catalog.update(endpoints, complete);
        for (EndpointDescriptor listed : endpoints) {
            if (known.containsKey(listed.id()) || (listed.state() == EndpointState.UP && subset.covers(listed.id()))) {
                describe(listed);
            }
        }
    }

    /** A complete list begins that comes in parts. */
    public void beginList() {
        catalog.beginList();
    }

    /** The list that was begun has ended. {@link #refresh} has to follow. */
    public void endList() {
        catalog.endList();
    }

    /** After a change of the list. What a complete list doesn't name is no member, but what was learned is kept. */
    public void refresh(boolean complete, double attemptsInFlight) {
        if (complete) {
            updateMembers();
        }
        fitSubset(attemptsInFlight);
    }

    /** Called at every re-split, with the mean number of attempts in flight. */
    public void endPeriod(double attemptsInFlight) {
        fitSubset(attemptsInFlight);
        fleetSize.endPeriod(members.size());
    }

    /** The subset follows the load, given as the mean number of attempts in flight, and the list. */
    private void fitSubset(double attemptsInFlight) {
        int before = subset.bucketCount();
        subset.fit(clock.now(), attemptsInFlight, (double) (members.size() - ejectedMembers()));
        if (subset.bucketCount() < before) {
            updateMembers();
        }
        catalog.inBuckets(subset.buckets(before, subset.bucketCount())).forEach(this::describe);
    }

    private Endpoint describe(EndpointDescriptor listed) {
        Endpoint endpoint = getOrCreate(listed.id());
        boolean restarted = endpoint.describe(listed);
        double startedAt = listed.startedAt();
        if (startedAt > 0 && startedAt + settings.rules().slowStartDuration() > clock.now()) {
            startSlowStart(endpoint, startedAt);
        }
        if (restarted) {
            endpoint.forgetFormerProcess();
        }
        updateMembership(endpoint);
        return endpoint;
    }

    // ---- membership ----

    private void updateMembers() {
        List.copyOf(members.values()).forEach(this::updateMembership);
    }

    /** Makes the endpoint a member or none. It is let go when it has no attempt in flight. */
    public void updateMembership(Endpoint endpoint) {
        String id = endpoint.id();
        if (!endpoint.isCordoned() && catalog.isUp(id) && subset.covers(id)) {
            if (members.put(id, endpoint) == null) {
                actions.retainEndpoint(endpoint.descriptor());
                fleetSize.onGrowth(members.size());
            }
        } else {
            members.remove(id);
            if (endpoint.inFlight() == 0) {
                actions.releaseEndpoint(id);
            }
        }
    }

    /** An attempt is about to be sent there: the host has to be connected also to one that is no member. */
    public void retainForAttempt(Endpoint endpoint) {
        if (!members.containsKey(endpoint.id())) {
            actions.retainEndpoint(endpoint.descriptor());
        }
    }

    /** Called now and then: forgets endpoints that are not in use, beyond a number that may come back. */
    public void forgetFormerMembers() {
        known.values()
                .removeIf(endpoint -> known.size() > members.size() + MAX_FORMER_MEMBERS
                        && endpoint.inFlight() == 0
                        && !endpoint.isCordoned()
                        && !members.containsKey(endpoint.id()));
    }

    /** The process there has started at this time, or may have. */
    public void startSlowStart(Endpoint endpoint, double startedAt) {
        endpoint.startSlowStart(startedAt, clock.now(), random);
    }

    // ---- look-up ----

    /** The endpoint of this id if it was used or cordoned before or a list has it, or null. */
    public Endpoint find(String id) {
        EndpointDescriptor listed = known.containsKey(id) ? null : catalog.get(id);
        return listed == null ? known.get(id) : describe(listed);
    }

    /** As {@link #find}, and one that no list has named yet is made. */
    Endpoint findOrCreate(String id) {
        Endpoint found = find(id);
        return found == null ? getOrCreate(id) : found;
    }

    private Endpoint getOrCreate(String id) {
        return known.computeIfAbsent(id, key -> new Endpoint(key, settings.rules(), objectives.meanMs()));
    }

    /** The members in the order of their ids. */
    public Collection<Endpoint> members() {
        return members.values();
    }

    Collection<Endpoint> known() {
        return known.values();
    }

    /** Endpoints that are up, outside the subset, in one cell or anywhere: {@code near} tells which cell. */
    public Stream<EndpointDescriptor> outsideSubset(RetryScope scope, EndpointDescriptor near, int limit) {
        IntStream uncovered = subset.buckets(subset.bucketCount(), settings.nodeCount());
        return (scope == RetryScope.CELL ? catalog.inCell(near.cell()) : catalog.inBuckets(uncovered))
                .limit(limit)
                .filter(listed -> !subset.covers(listed.id()));
    }

    // ---- counts ----

    /** Whether so many members would still be left with one more ejected: never less than half. */
    public boolean canSpareOneMore() {
        return 2 * ejectedMembers() + 2 <= members.size();
    }

    private long ejectedMembers() {
        double now = clock.now();
        return members.values().stream().filter(member -> member.isEjected(now)).count();
    }

    /** Endpoints that the list has, draining ones included. */
    public int size() {
        return catalog.size();
    }

    /** Endpoints that the list has as up and that are not cordoned. */
    public long upAndNotCordoned() {
        return catalog.upCount()
                - known.values().stream()
                        .filter(endpoint -> endpoint.isCordoned() && catalog.isUp(endpoint.id()))
                        .count();
    }

    public boolean hasEndpointUp() {
        return catalog.upCount() > 0;
    }

    /** Endpoints of the list that get nothing new: draining, cordoned or ejected at this time. */
    public int unavailable(double now) {
        long cordonedOrEjected = known.values().stream()
                .filter(endpoint -> catalog.isUp(endpoint.id()) && (endpoint.isCordoned() || endpoint.isEjected(now)))
                .count();
        return catalog.size() - catalog.upCount() + (int) cordonedOrEjected;
    }
}
