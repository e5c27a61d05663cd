// What goes in and out is declared in Gateway.java: Events in, Actions out.
package quotagateway.policy;

import java.nio.charset.StandardCharsets;
import java.util.*;
import quotagateway.policy.admission.DecayingMode;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.FailureReason;
import quotagateway.policy.api.IncomingRequest;
import quotagateway.policy.api.PolicyActions;
import quotagateway.policy.api.PolicyEvents;
import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.api.QuotaPlan;
import quotagateway.policy.api.RequestClass;
import quotagateway.policy.endpoint.Attempt;
import quotagateway.policy.endpoint.Cordons;
import quotagateway.policy.endpoint.Endpoint;
import quotagateway.policy.endpoint.EndpointRegistry;
import quotagateway.policy.hash.SplitMix64;
import quotagateway.policy.health.ClassLatency;
import quotagateway.policy.quota.FifoMultimap;
import quotagateway.policy.retry.AttemptHistory;
import quotagateway.policy.retry.IdempotencyRule;
import quotagateway.policy.retry.RetryPolicy;
import quotagateway.policy.routing.EndpointPicker;
import quotagateway.policy.routing.OutcomeRecorder;
import quotagateway.policy.slowstart.FleetSizeEstimator;
import quotagateway.policy.slowstart.SlowStartRate;
import quotagateway.policy.statistics.LatencyObjectives;
import quotagateway.policy.timer.EventClock;
import quotagateway.policy.timer.ResplitSchedule;
import quotagateway.policy.timer.TimerQueue;
import quotagateway.policy.traffic.SendRateLimiter;
import quotagateway.policy.traffic.TrafficMeter;

/** Every decision of one gateway. The same events give the same actions; all chance comes from one seed. */
public final class Policy implements PolicyEvents {
    // ---- constants, each with its reason ----

    /** The design re-splits four times a second. */
    private static final double SUBPERIOD = 250;
    /** A running total has a new name this often (ms), and lives twice as long: 60 s at most are kept. */
    private static final double ACCOUNT = 120 * SUBPERIOD;
    /** An EWMA over about the last ten samples follows a server within a second of ordinary traffic. */
    private static final double FAST = 0.2;
    /** Class means move slowly: servers are judged by them. */
    private static final double SLOW = 0.03;
    /** What is believed of a server's slowness halves in about this time (ms) without new samples. */
    private static final double FORGET = 4000;
    /** With less than this many mean times left an answer is too often late to spend a server on it. */
    private static final double LAST_CALL = 2;
    /** Refused unsent past this share of its wait, a request leaves its client no time to retry. */
    private static final double HELD_SHARE = 0.5;
    /** What a name shows more or less than its store holds is put right past this share of the burst. */
    private static final double DRIFT = 1.0 / 8;
    /** A reading that leaves nothing is taken again after this (ms): others may have given back since. */
    private static final double READ_AGAIN = 2 * SUBPERIOD;
    /** Clients' waits are told apart by so many parts of the class's deadline. */
    private static final int WAITS = 32;
    /** So many of one wait, and all counts are halved: habits may change. */
    private static final int WAITS_KEPT = 1000;
    /** Calls of all gateways that are out together at first; then by how long answers take. */
    private static final double CALLS = 16;
    /** Most calls of a gateway that are out together: its connections hold no more without a line. */
    private static final double CALLS_MOST = 32;
    /** An answer within this share of its time limit finds no line: one call more may be out. */
    private static final double CALL_QUICK = 1.0 / 4;
    /** One past this share was long in line: calls that are added to that line come too late. */
    private static final double CALL_SLOW = 1.0 / 2;
    /** A slow call takes a tenth off the bound, a lost one more: it stays in line though no one waits. */
    private static final double CALLS_DOWN = 0.9;

    private static final double CALLS_DOWN_LOST = 0.7;
    /** Below one call out a pause is kept between calls, as a large tier needs it: 16 limits at most. */
    private static final double CALLS_LEAST = 1.0 / 16;
    /** A quick call shortens that pause by this part, so that six make up for one that is lost. */
    private static final double CALLS_UP = 1.0 / 16;
    /** And by no less than this, as there are few calls to learn from where the pause is long. */
    private static final double CALLS_UP_LEAST = 1.0 / 64;
    /** So many calls in a row unanswered are not chance but a counter that is away. */
    private static final int MISSES = 8;
    /** Open counts get a new name this often (ms): what a killed node held is forgotten by then. */
    private static final double OPEN_EPOCH = 16 * SUBPERIOD;
    /** A retry that finds no server looks again after this (ms): a few of the shortest ticks. */
    private static final double LOOK_AGAIN = 25;
    /** This part of a store must be there by the last reading, for a request to go without a call. */
    private static final double BELIEVED = 1.0 / 2;

    // ---- state ----

    private final PolicySettings set;
    private final PolicyActions act;
    private final Random random;
    private final EventClock clock;
    private long serial;
    private final Map<String, Type> types = new HashMap<>();
    private final Map<String, QuotaPlan> plans = new HashMap<>();
    private final Map<String, Customer> customers = new HashMap<>();
    private final ArrayDeque<Customer> ring = new ArrayDeque<>();
    private final Map<Long, Req> requests = new HashMap<>();
    private final EndpointRegistry endpoints;
    private final Cordons cordons;
    private final EndpointPicker picker;
    private final OutcomeRecorder outcomes;
    private final IdempotencyRule idempotency;
    private final RetryPolicy retries;
    private final TrafficMeter traffic = new TrafficMeter();
    private final FleetSizeEstimator fleetSize = new FleetSizeEstimator();
    private final SendRateLimiter limiter;
    private final LatencyObjectives objectives;
    private final ResplitSchedule resplits;
    private final FifoMultimap<Long, Call> calls = new FifoMultimap<>();
    private final TimerQueue timers;
    private double counterSilentUntil, usuallyInside = 1, silentSince;
    private int misses;
    private final Set<Customer> active = new LinkedHashSet<>();
    private double window, lineUntil;
    private int callsOut;
    private final ArrayDeque<Customer> ahead = new ArrayDeque<>();
    private double counterBackoff = SUBPERIOD, subscribeBackoff = 4 * SUBPERIOD;

    /** A class with the mean time that its answers take. */
    private static final class Type {
        final RequestClass told;
        final DecayingMode waits = new DecayingMode(WAITS + 1, WAITS_KEPT);
        final ClassLatency latency;

        Type(RequestClass told) {
            this.told = told;
            latency = new ClassLatency(told);
        }

        /** How long (ms) the client has waited: one that names less than most has the rest of its time. */
        double waited(double patience) {
            int wait = (int) Math.min(WAITS, Math.max(0, patience) / told.deadline() * WAITS);
            return wait < waits.add(wait) - 1 ? told.deadline() - patience : 0;
        }
    }

    private static final class Customer {
        final long key;
        final QuotaPlan plan;
        final int spread;
        final TreeSet<Req> queue =
                new TreeSet<>(Comparator.<Req>comparingDouble(r -> r.useful).thenComparingLong(r -> r.serial));
        final ArrayDeque<Long> slots = new ArrayDeque<>();
        final ArrayDeque<double[]> due = new ArrayDeque<>(); // when, units: parts that the rate fills later
        double share, ownUnits, allUnits, sharedAt;
        double credits, unclaimed, accruedAt, dueUnits, held, arrived, usual;
        double level, levelAt, guess, guessAt, left, leftAt, lastTotal;
        double claimed, added, uncounted, fixed, inside, ceiling, ceilingAt, askAt, shortUntil, seen;
        long askEpoch, slotEpoch, totalEpoch = Long.MIN_VALUE, carriedEpoch = Long.MIN_VALUE;
        int out;
        double farFrom = Double.MAX_VALUE;
        /** Where this gateway stands in the customer's set. */
        final int place;

        boolean asking, inRing, doubted;

        Customer(String name, QuotaPlan plan, int spread, int place, double now) {
            this.plan = plan;
            this.spread = Math.max(1, spread);
            this.place = place;
            key = UUID.nameUUIDFromBytes(name.getBytes(StandardCharsets.UTF_8)).getMostSignificantBits();
            seen = sharedAt = ceilingAt = levelAt = guessAt = leftAt = accruedAt = now;
            level = guess = left = plan.burst();
            share = 1.0 / this.spread;
        }
    }

    private static final class Req {
        final IncomingRequest told;
        final Type type;
        final Customer customer;
        final double deadline, useful;
        final long serial;
        final AttemptHistory attempts;
        boolean over, streaming;
        int out;

        Req(IncomingRequest told, Type type, Customer customer, double now, double left, long serial) {
            this.told = told;
            this.type = type;
            this.customer = customer;
            this.serial = serial;
            attempts = new AttemptHistory(type.told);
            deadline = now + told.clientTimeout();
            useful = Math.min(now + left, deadline);
        }
    }

    private enum Why {
        CLAIM,
        FIX,
        GIVE,
        CARRY,
        TAKE_SLOT,
        GIVE_SLOT
    }

    private record Call(Customer customer, Why why, double amount) {}

    public Policy(PolicySettings settings, long seed, double now, PolicyActions actions) {
        set = settings;
        act = actions;
        random = new Random(seed);
        clock = new EventClock(now);
        timers = new TimerQueue(clock, actions);
        resplits = new ResplitSchedule(settings);
        objectives = LatencyObjectives.of(settings.requestClasses());
        settings.requestClasses().forEach(c -> types.put(c.name(), new Type(c)));
        settings.plans().forEach(p -> plans.put(p.name(), p));
        limiter = new SendRateLimiter(settings, objectives, clock, timers, traffic);
        SlowStartRate slowStartRate = new SlowStartRate(settings.rules(), traffic, limiter, fleetSize);
        endpoints = new EndpointRegistry(settings, objectives, clock, actions, random, fleetSize);
        cordons = new Cordons(settings, endpoints, slowStartRate, clock, timers, actions, random);
        idempotency = new IdempotencyRule(2 * settings.tick());
        retries = new RetryPolicy(idempotency, settings.capabilities().maxAttempts(), 2 * settings.tick());
        picker = new EndpointPicker(endpoints, idempotency, slowStartRate, clock, random);
        outcomes = new OutcomeRecorder(endpoints, limiter, clock);
        window = Math.max(1, CALLS / settings.nodeCount());
        timers.schedule(nextEdge(), this::onEdge);
        if (settings.mustSubscribe()) {
            act.subscribeToEndpoints();
        }
    }

    // ---- events ----

    @Override
    public void onEndpoints(double time, List<EndpointDescriptor> told, boolean whole) {
        begin(time);
        endpoints.update(told, whole);
        changed(whole);
    }

    @Override
    public void onEndpointListStarted(double time) {
        begin(time);
        endpoints.beginList();
    }

    @Override
    public void onEndpointListCompleted(double time) {
        begin(time);
        endpoints.endList();
        changed(true);
    }

    private void changed(boolean whole) {
        endpoints.refresh(whole, traffic.attemptsInFlight());
        if (traffic.isWarmingUp() && endpoints.hasEndpointUp()) {
            limiter.startWith(endpoints.upAndNotCordoned());
        }
        pump();
    }

    @Override
    public boolean setCordoned(double time, String server, boolean out) {
        begin(time);
        boolean known = cordons.set(server, out);
        if (known) {
            pump();
        }
        return known;
    }

    @Override
    public void replaceCordons(double time, Set<String> servers) {
        begin(time);
        cordons.replace(servers);
        pump();
    }

    @Override
    public int endpointCount() {
        return endpoints.size();
    }

    @Override
    public int unavailableEndpointCount(double time) {
        return endpoints.unavailable(time);
    }

    @Override
    public void onDiscoveryFailed(double time) {
        begin(time);
        if (set.mustSubscribe()) {
            timers.schedule(now() + subscribeBackoff * (0.5 + random.nextDouble()), act::subscribeToEndpoints);
            subscribeBackoff = Math.min(2 * subscribeBackoff, 32 * SUBPERIOD);
        }
    }

    @Override
    public void onRequest(double time, IncomingRequest told) {
        begin(time);
        Type type = types.get(told.requestClass());
        QuotaPlan plan = plans.get(told.plan());
        if (type == null || plan == null) {
            // nothing is told of such a class or plan: no quota can be kept for it
            act.reject(told.id(), 0, FailureReason.NOT_IN_SETTINGS);
            return;
        }
        String holder = told.customer() + ' ' + told.plan(); // a customer's other plan has a quota of its own
        Customer c = customers.get(holder);
        if (c == null) {
            c = new Customer(
                    holder,
                    plan,
                    told.gatewayCount(),
                    Math.floorMod(set.nodeIndex() - told.firstGateway(), set.nodeCount()),
                    now());
            c.credits = alone(c) ? Math.floor(plan.burst() / c.spread) : 0;
            c.inside = usuallyInside;
            customers.put(holder, c);
        }
        c.seen = now();
        c.arrived += told.units();
        traffic.onRequest();
        double left = type.told.latencyObjective() - type.waited(told.clientTimeout());
        Req r = new Req(told, type, c, now(), left > 0 ? left : type.told.latencyObjective(), serial++);
        requests.put(told.id(), r);
        if ((told.retry() && now() < c.shortUntil) || (left <= 0 && !plenty(c))) {
            // its first try waited here until it was of no use: a fresh request earns more
            answer(r, FailureReason.QUOTA_SHORT);
            return;
        }
        c.queue.add(r);
        c.held += told.units();
        active.add(c);
        if (!c.inRing) {
            c.inRing = true;
            ring.add(c);
        }
        pump();
        if (c.queue.contains(r)) {
            timers.schedule(Math.max(now() + set.tick(), lastCall(r)), () -> onExpiry(r));
        }
    }

    @Override
    public void onResponseStarted(double time, long id, int attempt) {
        begin(time);
        Optional.ofNullable(requests.get(id)).ifPresent(r -> r.streaming = true);
    }

    @Override
    public void onAttemptEnded(
            double time,
            long id,
            int number,
            CallOutcome outcome,
            double took,
            boolean over,
            int trueUnits,
            double[] load) {
        begin(time);
        Req r = requests.get(id);
        if (r == null
                || number < 0
                || number >= r.attempts.size()
                || !r.attempts.get(number).isInFlight()) {
            return;
        }
        Attempt a = r.attempts.get(number);
        a.end(outcome);
        r.out--;
        r.customer.out--;
        endpoints.updateMembership(a.endpoint());
        outcomes.record(a.endpoint(), r.type.latency, outcome, took);
        if (outcome == CallOutcome.OK && trueUnits > 0 && set.reportsActualUnits()) {
            r.customer.uncounted += trueUnits - r.told.units();
        }
        if (over || r.over) {
            end(r);
        } else if (r.out == 0) {
            again(r);
        }
        pump();
        giveBack(r.customer);
    }

    @Override
    public void onClientDisconnected(double time, long id) {
        begin(time);
        Optional.ofNullable(requests.get(id)).ifPresent(this::end);
    }

    @Override
    public void onTimer(double time, long token) {
        boolean last = timers.isLastArmed(time); // an older reminder leaves the one still to come alone
        begin(time);
        pump();
        if (last) {
            timers.arm();
        }
    }

    @Override
    public void onCounterReply(double time, long name, CallOutcome outcome, double took, double total) {
        begin(time);
        Call call = calls.poll(name);
        if (call == null) {
            return;
        }
        callsOut--;
        Customer c = call.customer;
        boolean heard = outcome == CallOutcome.OK;
        // a connection that broke was up a moment ago: no sign that the counter is away
        boolean alive = outcome == CallOutcome.RESET || outcome == CallOutcome.ERROR;
        misses = heard ? 0 : alive ? misses : misses + 1;
        crowding(outcome, took);
        if (heard) {
            counterBackoff = SUBPERIOD;
        } else if (misses >= MISSES && now() >= counterSilentUntil) {
            silentSince = counterBackoff == SUBPERIOD ? now() : silentSince;
            counterSilentUntil = now() + counterBackoff;
            counterBackoff = Math.min(2 * counterBackoff, 8 * SUBPERIOD);
        }
        switch (call.why) {
            case CLAIM -> claimHeard(c, outcome, total);
            case GIVE -> c.uncounted += lost(outcome) ? call.amount : 0; // below 0: still to be taken off
            case FIX -> fixHeard(c, heard, total);
            case CARRY -> carryHeard(c, heard, total);
            case TAKE_SLOT -> slotHeard(c, heard, total);
            default -> {}
        }
        pump();
        giveBack(c);
        claimAhead();
    }

    // ---- quota: credits, weights, re-split ----

    /** The next edge here: gateways spread theirs over the subperiod, or the counter gets all at once. */
    private double nextEdge() {
        return resplits.nextAfter(now());
    }

    private boolean alone(Customer c) {
        return !set.capabilities().sharedCounter() || c.spread == 1;
    }

    private boolean mayCall() {
        return now() >= counterSilentUntil
                && now() >= lineUntil
                && callsOut + 1 <= (misses >= MISSES ? 1 : Math.max(1, window));
    }

    private void onEdge() {
        timers.schedule(nextEdge(), this::onEdge);
        traffic.endPeriod();
        endpoints.fitSubset(traffic.attemptsInFlight());
        fleetSize.endPeriod(endpoints.members().size());
        ahead.clear();
        for (Iterator<Customer> it = active.iterator(); it.hasNext(); ) {
            Customer c = it.next();
            c.usual += (c.arrived - c.usual) * FAST;
            c.arrived = 0;
            accrue(c);
            double more = ahead(c);
            if (more >= 1) {
                ahead.add(c);
            } else if (more <= -1 && !c.asking && mayCall() && !alone(c) && c.plan.rate() > 0) {
                double back = Math.min(Math.floor(-more), Math.floor(c.credits - c.unclaimed));
                if (back >= 1) {
                    c.credits -= back;
                    call(c, name(c, epoch()), -back, Why.GIVE);
                }
            }
            if (c.queue.isEmpty() && c.out == 0 && !c.asking && c.slots.isEmpty() && c.usual < 0.1) {
                it.remove();
            }
        }
        claimAhead();
        if (traffic.periods() % 64 == 0) { // state of idle customers goes when their stores must be full
            customers.values().removeIf(c -> !active.contains(c) && !c.inRing && now() - c.seen > ACCOUNT);
            endpoints.forgetFormerMembers();
        }
    }

    /** What is usual for a subperiod and held, and not covered yet. */
    private static double ahead(Customer c) {
        return Math.floor(c.usual) + c.held - c.credits - c.dueUnits;
    }

    /** Claims for what is to come, as calls are to be had: what is held already has gone first. */
    private void claimAhead() {
        while (!ahead.isEmpty() && mayCall()) {
            Customer c = ahead.poll();
            accrue(c);
            double more = ahead(c);
            if (more >= 1 && c.usual >= 1 && c.inside > 0.5) {
                claim(c, more);
            }
        }
    }

    /** As TCP does: so many calls are out as the counter answers in time; a line there makes all late. */
    private void crowding(CallOutcome outcome, double took) {
        double limit = set.capabilities().counterTimeout();
        if (outcome == CallOutcome.FULL || outcome == CallOutcome.TIMEOUT) {
            window *= CALLS_DOWN_LOST;
            // one call a gateway at least is out again at once, and a tier of them never lets the line go
            pauseCalls(limit);
        } else if (outcome == CallOutcome.OK && took > limit * CALL_SLOW) {
            window *= CALLS_DOWN;
        } else if (outcome == CallOutcome.OK && took < limit * CALL_QUICK && callsOut + 2 > window) {
            window += window < 1 ? Math.max(CALLS_UP_LEAST, window * CALLS_UP) : 1 / window;
        }
        // so few calls as of a small tier make no line: late ones there are of a slow loop, or of silence
        double least = Math.max(CALLS_LEAST, Math.min(1, CALLS / set.nodeCount()));
        window = Math.max(least, Math.min(CALLS_MOST, window));
    }

    private void pauseCalls(double mean) {
        lineUntil = Math.max(lineUntil, now() + mean * (0.5 + random.nextDouble()));
        timers.scheduleWakeUp(lineUntil);
    }

    private long epoch() {
        return (long) Math.floor(now() / ACCOUNT);
    }

    private void call(Customer c, long name, double amount, Why why) {
        callsOut++;
        if (window < 1) {
            pauseCalls(set.capabilities().counterTimeout() / window);
        }
        calls.add(name, new Call(c, why, amount));
        act.addToCounter(name, amount, why == Why.TAKE_SLOT || why == Why.GIVE_SLOT ? 2 * OPEN_EPOCH : 2 * ACCOUNT);
    }

    /** A name on the counter, of a customer and an epoch. */
    private static long name(Customer c, long epoch) {
        return SplitMix64.mix(c.key + 2 * epoch) >>> 1;
    }

    private static long slotName(Customer c, long epoch) {
        return SplitMix64.mix(c.key + 2 * epoch + 1) >>> 1;
    }

    /** The re-split: adds the weight of what is held and to come; the total tells what all put before it. */
    private void claim(Customer c, double weight) {
        if (c.asking || alone(c) || c.plan.rate() <= 0 || now() < c.askAt || !mayCall()) {
            return;
        }
        double wait = c.queue.isEmpty() ? 0 : Math.max(0, lastCall(c.queue.last()) - now());
        double room = Math.floor(c.level + c.plan.rate() / 1000 * (now() - c.levelAt + wait));
        if (now() >= c.levelAt + readAgain(c)) {
            room = Math.max(room, c.queue.isEmpty() ? 0 : c.queue.first().told.units());
        }
        if (room < 1) {
            return; // the last reading leaves nothing, whatever others do: it would all be given back
        }
        c.asking = true;
        if (c.totalEpoch == epoch() - 1 && c.carriedEpoch < epoch()) {
            c.carriedEpoch = epoch();
            call(c, name(c, epoch() - 1), 0, Why.CARRY);
            return;
        }
        c.claimed = Math.min(weight, room);
        c.added = c.claimed + c.uncounted;
        c.uncounted = 0;
        c.askEpoch = epoch();
        call(c, name(c, c.askEpoch), c.added, Why.CLAIM);
    }

    /** When a reading that left nothing is taken again: later where the set is large and calls few. */
    private double readAgain(Customer c) {
        return READ_AGAIN * Math.max(1, c.spread / Math.max(1, window));
    }

    /** Most calls on a connection that breaks were not added: taken as added, a tenth went beyond quotas. */
    private static boolean lost(CallOutcome outcome) {
        return outcome.provesNotExecuted || outcome == CallOutcome.RESET;
    }

    /** No store holds more than a burst, nor more than was last read of it and what has come since. */
    private double level(Customer c) {
        return Math.min(c.plan.burst(), c.level + c.plan.rate() / 1000 * (now() - c.levelAt));
    }

    /** So much of the quota is left that what is of no use any more takes nothing from others. */
    private boolean plenty(Customer c) {
        return alone(c) ? c.credits >= c.plan.burst() / c.spread / 2 : level(c) >= c.plan.burst() / 2;
    }

    /** What is believed to be in the store: others have gone on as they did when they were last heard of. */
    private double left(Customer c) {
        double others = (c.allUnits - c.ownUnits) * Math.log(2) / FORGET;
        double fills = Math.max(0, c.plan.rate() / 1000 - others);
        return Math.min(c.plan.burst(), c.left + fills * (now() - c.leftAt));
    }

    /** What the quota has filled under the name of an epoch: a burst and the rate since. */
    private double filled(Customer c, long epoch) {
        return c.plan.burst() + c.plan.rate() * (now() - epoch * ACCOUNT) / 1000;
    }

    private void claimHeard(Customer c, CallOutcome outcome, double total) {
        c.asking = false;
        if (outcome != CallOutcome.OK) {
            // a late call is added all the same, as a crowded counter serves those too; the next add makes up
            c.uncounted += lost(outcome) ? c.added - c.claimed : -c.claimed;
            c.askAt = nextEdge();
            return;
        }
        double rate = c.plan.rate() / 1000;
        double before = filled(c, c.askEpoch) - (total - c.claimed);
        double others = total - c.added;
        c.doubted |= c.totalEpoch != c.askEpoch
                || (others < c.plan.burst() / 2 && others < c.lastTotal - c.plan.burst() / 2);
        // a new or lost name tells nothing of what others had; else a low reading may be a claim to be cut
        double most = c.doubted ? Math.min(level(c), left(c)) : c.plan.burst();
        double excess = before - Math.max(-rate * objectives.longestMs(), Math.min(before, most));
        boolean far = Math.abs(excess) > c.plan.burst() * DRIFT;
        // one of a set goes first with a name that is new to all; what is missing may be on its way back
        double after = excess < 0
                ? SUBPERIOD
                : c.doubted ? c.place * set.capabilities().counterTimeout() : 0;
        c.farFrom = far ? Math.min(c.farFrom, now()) : Double.MAX_VALUE;
        c.doubted &= far;
        boolean fix = far && now() >= c.farFrom + after;
        if (fix) { // idle time, a new or lost name, lost calls: put right
            c.fixed = excess;
            c.farFrom = Double.MAX_VALUE;
            call(c, name(c, c.askEpoch), excess, Why.FIX);
        }
        boolean untrue = excess < 0 && far && !fix; // read again at the next edge, and nothing had till then
        before = untrue ? -rate * objectives.longestMs() : before - (far ? excess : Math.max(0, excess));
        double wait = c.queue.isEmpty() ? 0 : lastCall(c.queue.last()) - now();
        double part = Math.floor(Math.max(0, Math.min(c.claimed, before + rate * wait)) + 1e-6);
        double ready = Math.floor(Math.max(0, Math.min(part, before)) + 1e-6);
        c.credits += ready;
        for (double k = ready + 1; k <= part; k++) {
            c.due.add(new double[] {now() + (k - before) / rate, 1});
            c.dueUnits++;
            timers.scheduleWakeUp(now() + (k - before) / rate);
        }
        c.level = c.guess = untrue ? 0 : before - part;
        double own = part + c.added - c.claimed;
        if (c.totalEpoch == c.askEpoch) {
            shared(c, Math.max(0, own), total + part - c.claimed - c.lastTotal);
        }
        c.totalEpoch = c.askEpoch;
        c.lastTotal = total + part - c.claimed + (fix ? excess : 0);
        c.left = c.level;
        c.levelAt = c.guessAt = c.leftAt = now();
        c.inside += (part / c.claimed - c.inside) / 2; // few readings, and the last tells most
        usuallyInside += (part / c.claimed - usuallyInside) * SLOW;
        if (part < c.claimed) {
            c.askAt = nextEdge();
            call(c, name(c, c.askEpoch), part - c.claimed, Why.GIVE);
        }
    }

    /** Of what all had since the last reading, so much was had here: old readings count less and less. */
    private void shared(Customer c, double own, double all) {
        double kept = Math.pow(0.5, (now() - c.sharedAt) / FORGET);
        c.sharedAt = now();
        c.ownUnits = c.ownUnits * kept + own;
        // more than that is a name that another gateway has put right
        double most = own + c.plan.burst() + c.plan.rate() / 1000 * (now() - c.leftAt);
        c.allUnits = c.allUnits * kept + Math.max(own, Math.min(all, most));
        double even = c.plan.burst() / 8; // so much had evenly is believed of one not heard of
        c.share = (c.ownUnits + even / c.spread) / (c.allUnits + even);
    }

    /** Two gateways may put the same excess right: the later one sees it twice gone and takes its back. */
    private void fixHeard(Customer c, boolean heard, double total) {
        if (heard && c.fixed > 0 && filled(c, c.askEpoch) - total < Math.max(0, c.level) - c.fixed / 2) {
            call(c, name(c, c.askEpoch), -c.fixed, Why.GIVE);
        }
    }

    /** A new name starts at 0, whatever the store holds: the old one tells what others took meanwhile. */
    private void carryHeard(Customer c, boolean heard, double total) {
        c.asking = false;
        if (heard) {
            double told = filled(c, c.carriedEpoch - 1) - total - c.uncounted;
            c.level = c.guess = c.left = Math.min(told, level(c));
            c.levelAt = c.guessAt = c.leftAt = now();
        }
    }

    /** Parts fall due; while the counter is away the share of the rate comes as last known. */
    private void accrue(Customer c) {
        while (!c.due.isEmpty() && c.due.peek()[0] <= now() + 1e-6) {
            c.credits += c.due.peek()[1];
            c.dueUnits -= c.due.poll()[1];
        }
        if (alone(c) || now() < counterSilentUntil) {
            double from = Math.max(c.accruedAt, alone(c) ? 0 : silentSince);
            double room = Math.max(set.maxUnits(), c.plan.burst() * c.share);
            c.share += (1.0 / c.spread - c.share) * FAST * Math.min(1, (now() - from) / SUBPERIOD);
            double more = Math.min(room - c.credits, c.plan.rate() * c.share * (now() - from) / 1000);
            c.credits += Math.max(0, more);
            c.unclaimed += alone(c) ? 0 : Math.max(0, more);
        }
        c.accruedAt = now();
    }

    /** A slot of the open cap: by the count on the counter, by the even part while it is silent. */
    private boolean slot(Customer c) {
        if (c.plan.concurrencyLimit() <= 0 || c.out < c.slots.size()) {
            return true;
        }
        if (alone(c) || !mayCall()) {
            // the even part; where that is under one, one at a time while the last counts showed room
            return c.out < c.plan.concurrencyLimit() / c.spread || (c.out == 0 && believed(c));
        }
        if (!c.asking && now() >= c.askAt) {
            c.asking = true;
            c.slotEpoch = (long) Math.floor(now() / OPEN_EPOCH);
            call(c, slotName(c, c.slotEpoch), 1, Why.TAKE_SLOT);
        }
        return false;
    }

    /** The answer to a try for a slot: within the cap it is ours, else given back and tried again. */
    private void slotHeard(Customer c, boolean heard, double total) {
        c.asking = false;
        c.inside += heard ? ((total <= c.plan.concurrencyLimit() ? 1 : 0) - c.inside) / 2 : 0;
        if (heard && total <= c.plan.concurrencyLimit()) {
            c.slots.add(c.slotEpoch);
        } else if (heard) {
            call(c, slotName(c, c.slotEpoch), -1, Why.GIVE_SLOT);
            c.askAt = now() + LOOK_AGAIN;
            timers.scheduleWakeUp(c.askAt);
        }
    }

    private void giveBack(Customer c) {
        while (c.slots.size() > c.out && c.queue.isEmpty()) {
            call(c, slotName(c, c.slots.poll()), -1, Why.GIVE_SLOT);
        }
    }

    /** From here on a held request is of no use: it would be late, or its client has to try elsewhere. */
    private double lastCall(Req r) {
        return Math.min(
                r.useful - LAST_CALL * r.type.latency.meanMs(),
                r.deadline - (1 - HELD_SHARE) * r.told.clientTimeout() - 2 * set.tick());
    }

    private boolean covered(Customer c, Req r) {
        accrue(c);
        if (c.plan.rate() > 0 && c.credits < r.told.units()) {
            double weight = Math.ceil(c.held - c.credits - c.dueUnits - 1e-6);
            // no use to add where the last reading leaves nothing in time
            double known = c.level + c.plan.rate() / 1000 * (now() - c.levelAt + lastCall(r) - now());
            if (weight > 0 && (known >= r.told.units() || now() >= c.levelAt + readAgain(c))) {
                claim(c, weight);
            }
            if (!onBelief(c, r)) {
                return false;
            }
        }
        return underCeiling(c, r) && slot(c);
    }

    /** With no call to be had, by the store as last read; half is left to those that believe the same. */
    private boolean onBelief(Customer c, Req r) {
        return !alone(c)
                && !c.asking
                && !mayCall()
                && c.plan.ceilingRate() <= 0
                && !r.told.retry()
                && believed(c)
                && Math.min(guess(c), c.left) >= Math.max(r.told.units(), c.plan.burst() * BELIEVED)
                && ((c.totalEpoch != Long.MIN_VALUE && now() < c.levelAt + FORGET)
                        || 2 * now() >= r.deadline - r.told.clientTimeout() + lastCall(r)); // half of its wait here
    }

    /** Sending earns more than it costs, by what the plan tells, and servers are not pressed. */
    private boolean believed(Customer c) {
        double cost = c.plan.excessCost();
        return limiter.ratePerSecond() >= traffic.requestsPerSecond()
                && c.inside > cost / (1 + cost - Math.min(c.plan.excessWeight(), 0.99));
    }

    private double guess(Customer c) {
        return Math.min(c.plan.burst(), c.guess + c.plan.rate() / 1000 * (now() - c.guessAt));
    }

    // ---- dispatch ----

    /** Serves the customers in turn, the earliest useful request of each first, while servers have room. */
    private void pump() {
        int blocked = 0;
        while (blocked < ring.size()) {
            Customer c = ring.poll();
            if (c.queue.isEmpty()) {
                c.inRing = false;
                continue;
            }
            ring.add(c);
            Req r = c.queue.first();
            if (!covered(c, r)) {
                blocked++;
                continue;
            }
            Endpoint h = limiter.hasPermit() ? picker.pick(r.attempts) : null;
            if (h == null) {
                return;
            }
            dequeue(r);
            c.credits -= c.plan.rate() > 0 ? r.told.units() : 0;
            c.ceiling -= r.told.units();
            double untold = Math.max(0, c.unclaimed - c.credits);
            if (untold > 0) { // told with the next add
                c.unclaimed = Math.max(0, Math.min(c.unclaimed, c.credits));
                c.credits = Math.max(0, c.credits);
                c.guess = guess(c) - untold / c.share;
                c.guessAt = now();
                c.uncounted += untold;
                c.left = left(c) - untold;
                c.level = level(c) - untold;
                c.leftAt = c.levelAt = now();
            }
            timers.schedule(r.deadline, () -> onDeadline(r));
            send(r, h);
            blocked = 0;
        }
    }

    // ---- attempts: sends, retries ----

    private void send(Req r, Endpoint h) {
        endpoints.retainForAttempt(h);
        Attempt a = h.startAttempt(r.type.latency, now());
        r.attempts.add(a);
        r.out++;
        r.customer.out++;
        traffic.onSend(r.type.latency.meanMs());
        limiter.onSend();
        timers.schedule(
                now() + r.type.told.latencyObjective() * SendRateLimiter.LATE_PART_OF_OBJECTIVE, () -> onLate(r));
        act.sendAttempt(r.told.id(), h.id(), 0);
    }

    /** Every attempt has ended without an answer: try elsewhere where it is allowed and of use, or answer. */
    private void again(Req r) {
        Optional<FailureReason> over = retries.reasonAgainst(r.attempts, r.useful, r.deadline, now());
        if (over.isPresent()) {
            answer(r, over.get());
            return;
        }
        Endpoint h = limiter.hasPermit()
                ? picker.pick(r.attempts)
                : null; // the pace is the retry budget too: all that is sent goes by it
        if (h == null) {
            timers.schedule(now() + LOOK_AGAIN, () -> onRetryDue(r));
        } else {
            send(r, h);
        }
    }

    /** The final answer of a request that no attempt can answer any more. */
    private void answer(Req r, FailureReason reason) {
        if (idempotency.mayReject(r.attempts)) {
            // what was short is so for a while: a client that comes back sooner costs calls and finds no more
            act.reject(
                    r.told.id(),
                    set.capabilities().retryAfter() ? set.capabilities().maxRetryAfter() : 0,
                    reason);
        } else {
            act.fail(r.told.id(), reason);
        }
        end(r);
    }

    private void end(Req r) {
        for (int i = 0;
                i < r.attempts.size()
                        && !r.over
                        && !r.streaming
                        && set.capabilities().cancellation();
                i++) {
            if (r.attempts.get(i).isInFlight()) {
                act.cancelAttempt(r.told.id(), i);
            }
        }
        r.over = true;
        dequeue(r);
        if (r.out == 0) {
            requests.remove(r.told.id());
        }
    }

    private static void dequeue(Req r) {
        if (r.customer.queue.remove(r)) {
            r.customer.held -= r.told.units();
        }
    }

    // ---- guards for the rules ----

    /** The hard ceiling: the even part rounded down, empty at the start, whatever the counter says. */
    private boolean underCeiling(Customer c, Req r) {
        if (c.plan.ceilingRate() <= 0) {
            return true;
        }
        c.ceiling = Math.min(
                Math.floor(c.plan.ceilingBurst() / c.spread),
                c.ceiling + (now() - c.ceilingAt) / 1000 * c.plan.ceilingRate() / c.spread);
        c.ceilingAt = now();
        return c.ceiling >= r.told.units();
    }

    // ---- timers ----

    private double now() {
        return clock.now();
    }

    private void begin(double time) {
        clock.advanceTo(time);
        timers.runDue();
    }

    private void onExpiry(Req r) {
        if (!r.over && r.attempts.isEmpty()) {
            r.customer.shortUntil = now() + r.type.told.latencyObjective();
            answer(r, FailureReason.HELD_TOO_LONG);
        }
    }

    private void onLate(Req r) {
        double lateAfter = r.type.told.latencyObjective() * SendRateLimiter.LATE_PART_OF_OBJECTIVE;
        if (r.out > 0 && r.attempts.last().sentAt() <= now() - lateAfter) {
            limiter.onLateAttempt();
        }
    }

    private void onDeadline(Req r) {
        if (!r.over && !r.streaming) {
            answer(r, FailureReason.DEADLINE);
        }
    }

    private void onRetryDue(Req r) {
        if (!r.over && r.out == 0) {
            again(r);
        }
    }
}
