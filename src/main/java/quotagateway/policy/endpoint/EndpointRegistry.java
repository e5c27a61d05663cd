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
 * Keeps track of the endpoints that this gateway knows. The {@link EndpointCatalog} has all listed endpoints. For the
 * endpoints that were used or cordoned, the registry keeps an {@link Endpoint} with its estimates. The members are the
 * known endpoints that are up, in the gateway's {@link EndpointSubset} and not cordoned: new requests go to members,
 * and the host is notified when an endpoint becomes a member and when it is no longer in use.
 */
public final class EndpointRegistry {
    /**
     * Number of endpoints whose state is kept although they are no longer members, because they return after a
     * release.
     */
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

    /** Applies a complete list, a part of a list, or changes to a list. {@link #refresh} must follow. */
    public void update(List<EndpointDescriptor> endpoints, boolean complete) {
        catalog.update(endpoints, complete);
        for (EndpointDescriptor listed : endpoints) {
            if (known.containsKey(listed.id()) || (listed.state() == EndpointState.UP && subset.covers(listed.id()))) {
                updateDescriptor(listed);
            }
        }
    }

    /** Begins a complete list that arrives in parts. */
    public void beginList() {
        catalog.beginList();
    }

    /** Ends the list that was begun. {@link #refresh} must follow. */
    public void endList() {
        catalog.endList();
    }

    /**
     * Updates members and subset after a change to the list. An endpoint that a complete list does not name is no
     * longer a member, but its state is kept.
     */
    public void refresh(boolean complete, double attemptsInFlight) {
        if (complete) {
            updateMembers();
        }
        resizeSubset(attemptsInFlight);
    }

    /** Called at every re-split, with the mean number of attempts in flight. */
    public void endPeriod(double attemptsInFlight) {
        resizeSubset(attemptsInFlight);
        fleetSize.endPeriod(members.size());
    }

    /** Adapts the subset to the list and to the load, given as the mean number of attempts in flight. */
    private void resizeSubset(double attemptsInFlight) {
        int before = subset.bucketCount();
        subset.resize(clock.now(), attemptsInFlight, (double) (members.size() - ejectedMemberCount()));
        if (subset.bucketCount() < before) {
            updateMembers();
        }
        catalog.inBuckets(subset.buckets(before, subset.bucketCount())).forEach(this::updateDescriptor);
    }

    private Endpoint updateDescriptor(EndpointDescriptor listed) {
        Endpoint endpoint = getOrCreate(listed.id());
        boolean restarted = endpoint.updateDescriptor(listed);
        double startedAt = listed.startedAt();
        if (startedAt > 0 && startedAt + settings.rules().slowStartDuration() > clock.now()) {
            startSlowStart(endpoint, startedAt);
        }
        if (restarted) {
            endpoint.resetLearnedState();
        }
        updateMembership(endpoint);
        return endpoint;
    }

    // ---- membership ----

    private void updateMembers() {
        List.copyOf(members.values()).forEach(this::updateMembership);
    }

    /**
     * Adds the endpoint to the members or removes it. An endpoint that is not a member is released when it has no
     * attempt in flight.
     */
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

    /**
     * Called before an attempt is sent to the endpoint. The host has to connect to the endpoint even if it is not a
     * member.
     */
    public void retainForAttempt(Endpoint endpoint) {
        if (!members.containsKey(endpoint.id())) {
            actions.retainEndpoint(endpoint.descriptor());
        }
    }

    /** Evicts endpoints that are not in use, except for a number of endpoints that may return. Called periodically. */
    public void evictFormerMembers() {
        known.values()
                .removeIf(endpoint -> known.size() > members.size() + MAX_FORMER_MEMBERS
                        && endpoint.inFlight() == 0
                        && !endpoint.isCordoned()
                        && !members.containsKey(endpoint.id()));
    }

    /** Puts an endpoint into slow start because its process started, or may have started, at this time. */
    public void startSlowStart(Endpoint endpoint, double startedAt) {
        endpoint.startSlowStart(startedAt, clock.now(), random);
    }

    // ---- look-up ----

    /** Returns the endpoint of this id, or null if it was neither used nor cordoned before and is not listed. */
    public Endpoint find(String id) {
        EndpointDescriptor listed = known.containsKey(id) ? null : catalog.get(id);
        return listed == null ? known.get(id) : updateDescriptor(listed);
    }

    /** As {@link #find}, but creates the endpoint if no list has named it yet. */
    Endpoint findOrCreate(String id) {
        Endpoint found = find(id);
        return found == null ? getOrCreate(id) : found;
    }

    private Endpoint getOrCreate(String id) {
        return known.computeIfAbsent(id, key -> new Endpoint(key, settings.rules(), objectives.meanMs()));
    }

    /** Returns the members ordered by id. */
    public Collection<Endpoint> members() {
        return members.values();
    }

    Collection<Endpoint> known() {
        return known.values();
    }

    /**
     * Returns the endpoints outside the subset among the first {@code limit} candidates that are up: the endpoints in
     * the cell of {@code near} for the scope CELL, the endpoints of all unused buckets otherwise.
     */
    public Stream<EndpointDescriptor> outsideSubset(RetryScope scope, EndpointDescriptor near, int limit) {
        IntStream unusedBuckets = subset.buckets(subset.bucketCount(), settings.nodeCount());
        return (scope == RetryScope.CELL ? catalog.inCell(near.cell()) : catalog.inBuckets(unusedBuckets))
                .limit(limit)
                .filter(listed -> !subset.covers(listed.id()));
    }

    // ---- counts ----

    /** Returns whether at least half of the members would be left if one more were ejected. */
    public boolean canEjectOneMore() {
        return 2 * ejectedMemberCount() + 2 <= members.size();
    }

    private long ejectedMemberCount() {
        double now = clock.now();
        return members.values().stream().filter(member -> member.isEjected(now)).count();
    }

    /** Returns the number of listed endpoints, including draining ones. */
    public int size() {
        return catalog.size();
    }

    /** Returns the number of listed endpoints that are up and not cordoned. */
    public long uncordonedUpCount() {
        return catalog.upCount()
                - known.values().stream()
                        .filter(endpoint -> endpoint.isCordoned() && catalog.isUp(endpoint.id()))
                        .count();
    }

    public boolean hasEndpointUp() {
        return catalog.upCount() > 0;
    }

    /**
     * Returns the number of listed endpoints that get no new requests because they are draining, cordoned or ejected
     * at this time.
     */
    public int unavailableCount(double now) {
        long cordonedOrEjected = known.values().stream()
                .filter(endpoint -> catalog.isUp(endpoint.id()) && (endpoint.isCordoned() || endpoint.isEjected(now)))
                .count();
        return catalog.size() - catalog.upCount() + (int) cordonedOrEjected;
    }
}
