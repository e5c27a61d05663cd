// What goes in and out is declared in Gateway.java: Events in, Actions out.
package quotagateway.policy;

import java.nio.charset.StandardCharsets;
import java.util.*;
import quotagateway.policy.admission.DecayingMode;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;
import quotagateway.policy.api.FailureReason;
import quotagateway.policy.api.Idempotency;
import quotagateway.policy.api.IncomingRequest;
import quotagateway.policy.api.PolicyActions;
import quotagateway.policy.api.PolicyEvents;
import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.api.QuotaPlan;
import quotagateway.policy.api.RequestClass;
import quotagateway.policy.api.RetryScope;
import quotagateway.policy.endpoint.ConsistentHashRing;
import quotagateway.policy.endpoint.EndpointCatalog;
import quotagateway.policy.endpoint.EndpointSubset;
import quotagateway.policy.quota.FifoMultimap;
import quotagateway.policy.timer.TimerQueue;

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
    /** First ejection (ms): longer than a blip, short against the time that a client waits; then doubled. */
    private static final double EJECT = 500;

    private static final int EJECT_DOUBLINGS = 4;
    /** An answer beyond a quarter of its aim takes a tenth off the bound: some are long by themselves. */
    private static final double LIMIT_DOWN = 0.9;
    /** Least step of the pace an answer; a late one takes three, so that it falls when a quarter are late. */
    private static final double PACE_STEP = 0.03;
    /** The least bound: an attempt in eight half aims still shows soon when a server does better. */
    private static final double LIMIT_LEAST = 1.0 / 8;
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
    /** The part of what is asked that is sent on, until seen; a wrong guess is well within the factor. */
    private static final double SENT_SHARE = 0.7;
    /** A server back from the operators is tried between these (ms): gateways must not all come at once. */
    private static final double BACK_FROM = 300;

    private static final double BACK_TO = 3500;
    /** Many gateways spread this as their budgets would, but so that this many come in the rule's time. */
    private static final double BACK_TOGETHER = 2;
    /** A send to a cold server that is due but not used lapses after so many times the rule's own time. */
    private static final double UNUSED_KEPT = 2;
    /** About so long (ms) a fleet that shrank is taken for its former size: a lost part comes back sooner. */
    private static final double UP_KEPT = 60_000;
    /** What was learnt of so many servers that left the set is kept: they come back, as after a release. */
    private static final int REMEMBERED = 256;
    /** A repeat looks at so many servers outside the set at most. */
    private static final int LOOK = 1000;

    // ---- state ----

    private final PolicySettings set;
    private final PolicyActions act;
    private final Random random;
    private double now;
    private long serial;
    private final Map<String, Type> types = new HashMap<>();
    private final Map<String, QuotaPlan> plans = new HashMap<>();
    private final Map<String, Customer> customers = new HashMap<>();
    private final ArrayDeque<Customer> ring = new ArrayDeque<>();
    private final Map<Long, Req> requests = new HashMap<>();
    /** All that the lists tell; of those the ones that were used or taken out by hand; and the set in use. */
    private final EndpointCatalog list;

    private final EndpointSubset working;
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final TreeMap<String, Host> members = new TreeMap<>();
    private final FifoMultimap<Long, Call> calls = new FifoMultimap<>();
    private final TimerQueue<Timer> timers;
    private double sendRate, meanAim, longestAim, sentInPeriod, outMean, outInPeriod;
    private double counterSilentUntil, usuallyInside = 1, silentSince;
    private int misses;
    private long edges;
    private double sentShare = SENT_SHARE, paceRate, paceCredit, pacedAt, paceWake, askRate, askedInPeriod;
    private double usualUp;
    private final Set<Customer> active = new LinkedHashSet<>();
    private double window, lineUntil;
    private int callsOut;
    private final ArrayDeque<Customer> ahead = new ArrayDeque<>();
    private double counterBackoff = SUBPERIOD, subscribeBackoff = 4 * SUBPERIOD;

    /** A class with the mean time that its answers take. */
    private static final class Type {
        final RequestClass told;
        final DecayingMode waits = new DecayingMode(WAITS + 1, WAITS_KEPT);
        double mean;

        Type(RequestClass told) {
            this.told = told;
            mean = told.latencyObjective() / 8; // until seen: an aim leaves room for a queue, a retry and the way
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
        final List<Attempt> attempts = new ArrayList<>();
        boolean over, streaming;
        int out;

        Req(IncomingRequest told, Type type, Customer customer, double now, double left, long serial) {
            this.told = told;
            this.type = type;
            this.customer = customer;
            this.serial = serial;
            deadline = now + told.clientTimeout();
            useful = Math.min(now + left, deadline);
        }
    }

    private static final class Attempt {
        final Req req;
        final Host host;
        final double sent;
        CallOutcome outcome;

        Attempt(Req req, Host host, double sent) {
            this.req = req;
            this.host = host;
            this.sent = sent;
        }

        boolean mayHaveRun() {
            return outcome == null || !outcome.provesNotExecuted;
        }
    }

    private static final class Host {
        final String id;
        EndpointDescriptor told;
        boolean cordoned;
        /** When a server that was put back is owed its first request. */
        double backAt = Double.MAX_VALUE;

        final LinkedHashSet<Attempt> out = new LinkedHashSet<>();
        double slow = 1, slowAt;
        double limit = 4; // at first about two for each core of a small machine
        double lastSent, fails, ejectedUntil, ejections;
        boolean trial, wasDead;
        double coldFrom = Double.NEGATIVE_INFINITY, coldCredit, coldAt;
        final Map<Type, double[]> failing = new HashMap<>(); // share that fails, when

        Host(String id) {
            this.id = id;
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

    private enum Kind {
        EDGE,
        EXPIRE,
        DEADLINE,
        LATE,
        RETRY,
        SUBSCRIBE
    }

    private record Timer(Kind kind, Req req) {}

    public Policy(PolicySettings settings, long seed, double now, PolicyActions actions) {
        set = settings;
        act = actions;
        random = new Random(seed);
        timers = new TimerQueue<>(actions);
        this.now = now;
        for (RequestClass c : settings.requestClasses()) {
            types.put(c.name(), new Type(c));
            longestAim = Math.max(longestAim, c.latencyObjective());
            meanAim += c.latencyObjective() / settings.requestClasses().size();
        }
        settings.plans().forEach(p -> plans.put(p.name(), p));
        list = new EndpointCatalog(settings.nodeCount());
        working = new EndpointSubset(settings, list);
        window = Math.max(1, CALLS / settings.nodeCount());
        at(Kind.EDGE, nextEdge(), null);
        if (settings.mustSubscribe()) {
            act.subscribeToEndpoints();
        }
    }

    // ---- events ----

    @Override
    public void onEndpoints(double time, List<EndpointDescriptor> told, boolean whole) {
        begin(time);
        list.take(told, whole);
        told.stream()
                .filter(s -> hosts.containsKey(s.id()) || (s.state() == EndpointState.UP && working.covers(s.id())))
                .forEach(this::told);
        changed(whole);
    }

    @Override
    public void onEndpointListStarted(double time) {
        begin(time);
        list.begin();
    }

    @Override
    public void onEndpointListCompleted(double time) {
        begin(time);
        list.end();
        changed(true);
    }

    /** Of what a whole list does not name the state goes on, should it come back, but nothing is sent. */
    private void changed(boolean whole) {
        if (whole) {
            List.copyOf(members.values()).forEach(this::place);
        }
        fit();
        if (edges < 4 && list.up() > 0) { // at first two out at each server, of all gateways together
            long out = hosts.values().stream()
                    .filter(h -> h.cordoned && list.isUp(h.id))
                    .count();
            paceRate = Math.max(paceRate, 2000.0 * (list.up() - out) / set.nodeCount() / (meanAim / 8));
            paceCredit = Math.max(2, paceRate * SUBPERIOD / 1000);
        }
        pump();
    }

    private Host told(EndpointDescriptor s) {
        Host h = hosts.computeIfAbsent(s.id(), Host::new);
        boolean restarted = h.told != null && s.startedAt() > h.told.startedAt();
        h.told = s;
        if (s.startedAt() > 0 && s.startedAt() + set.rules().slowStartDuration() > now) {
            cold(h, s.startedAt());
        }
        if (restarted) {
            asNew(h);
        }
        place(h);
        return h;
    }

    /** In the set, or out of it: let go when nothing is out there. */
    private void place(Host h) {
        if (!h.cordoned && list.isUp(h.id) && working.covers(h.id)) {
            if (members.put(h.id, h) == null) {
                act.retainEndpoint(h.told);
                usualUp = Math.max(usualUp, members.size());
            }
        } else {
            members.remove(h.id);
            if (h.out.isEmpty()) {
                act.releaseEndpoint(h.id);
            }
        }
    }

    /** The set follows load and list. */
    private void fit() {
        int before = working.covered;
        working.fit(now, outMean, (double)
                members.values().stream().filter(h -> !ejected(h)).count());
        if (working.covered < before) {
            List.copyOf(members.values()).forEach(this::place);
        }
        list.inBuckets(working.buckets(before, working.covered)).forEach(this::told);
    }

    /** Nothing that was learnt of the process before holds for this one. */
    private static void asNew(Host h) {
        h.fails = h.ejectedUntil = h.ejections = 0;
        h.slow = 1;
        h.failing.clear();
    }

    @Override
    public boolean setCordoned(double time, String server, boolean out) {
        begin(time);
        Host h = known(server);
        if (h == null || (h.told == null && !h.cordoned)) {
            return false;
        }
        setCordoned(h, out);
        pump();
        return true;
    }

    @Override
    public void replaceCordons(double time, Set<String> servers) {
        begin(time);
        for (String server : servers) { // those too that the list is yet to name
            Host h = known(server);
            setCordoned(h == null ? hosts.computeIfAbsent(server, Host::new) : h, true);
        }
        hosts.values().stream().filter(h -> !servers.contains(h.id)).forEach(h -> setCordoned(h, false));
        pump();
    }

    /** A server that was used or taken out, or that the list has, or null. */
    private Host known(String id) {
        EndpointDescriptor s = hosts.containsKey(id) ? null : list.get(id);
        return s == null ? hosts.get(id) : told(s);
    }

    /** Out: nothing new, whatever the list says. Back: it may have restarted meanwhile, so it is cold. */
    private void setCordoned(Host h, boolean out) {
        if (h.cordoned == out) {
            return;
        }
        h.cordoned = out;
        place(h);
        if (out) {
            act.withdrawQueuedAttempts(h.id);
        } else {
            asNew(h);
            h.trial = h.wasDead = false;
            cold(h, now);
            double apart = Math.min(set.nodeCount() * set.rules().overloadWindow() / BACK_TOGETHER, 1 / coldRate(h));
            h.backAt = now + BACK_FROM + Math.max(BACK_TO - BACK_FROM, apart) * random.nextDouble();
            at(Kind.RETRY, h.backAt, null);
        }
    }

    @Override
    public int endpointCount() {
        return list.size();
    }

    @Override
    public int unavailableEndpointCount(double time) {
        return list.size()
                - list.up()
                + (int) hosts.values().stream()
                        .filter(h -> list.isUp(h.id) && (h.cordoned || time < h.ejectedUntil))
                        .count();
    }

    @Override
    public void onDiscoveryFailed(double time) {
        begin(time);
        if (set.mustSubscribe()) {
            at(Kind.SUBSCRIBE, now + subscribeBackoff * (0.5 + random.nextDouble()), null);
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
                    now);
            c.credits = alone(c) ? Math.floor(plan.burst() / c.spread) : 0;
            c.inside = usuallyInside;
            customers.put(holder, c);
        }
        c.seen = now;
        c.arrived += told.units();
        askedInPeriod++;
        double left = type.told.latencyObjective() - type.waited(told.clientTimeout());
        Req r = new Req(told, type, c, now, left > 0 ? left : type.told.latencyObjective(), serial++);
        requests.put(told.id(), r);
        if ((told.retry() && now < c.shortUntil) || (left <= 0 && !plenty(c))) {
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
            at(Kind.EXPIRE, Math.max(now + set.tick(), lastCall(r)), r);
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
        if (r == null || number < 0 || number >= r.attempts.size() || r.attempts.get(number).outcome != null) {
            return;
        }
        Attempt a = r.attempts.get(number);
        a.outcome = outcome;
        r.out--;
        r.customer.out--;
        a.host.out.remove(a);
        place(a.host);
        learn(a.host, r.type, outcome, took);
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
        boolean last = timers.isLast(time); // an older reminder leaves the one still to come alone
        begin(time);
        pump();
        if (last) {
            timers.arm(now);
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
        } else if (misses >= MISSES && now >= counterSilentUntil) {
            silentSince = counterBackoff == SUBPERIOD ? now : silentSince;
            counterSilentUntil = now + counterBackoff;
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
        double phase = SUBPERIOD * set.nodeIndex() / set.nodeCount();
        return (Math.floor((now - phase) / SUBPERIOD) + 1) * SUBPERIOD + phase;
    }

    private boolean alone(Customer c) {
        return !set.capabilities().sharedCounter() || c.spread == 1;
    }

    private boolean mayCall() {
        return now >= counterSilentUntil
                && now >= lineUntil
                && callsOut + 1 <= (misses >= MISSES ? 1 : Math.max(1, window));
    }

    private void onEdge() {
        at(Kind.EDGE, nextEdge(), null);
        sendRate += (sentInPeriod * 1000 / SUBPERIOD - sendRate) * FAST;
        sentInPeriod = 0;
        askRate += (askedInPeriod * 1000 / SUBPERIOD - askRate) * Math.max(FAST, 1.0 / ++edges);
        askedInPeriod = 0;
        outMean += (outInPeriod / SUBPERIOD - outMean) * FAST;
        outInPeriod = 0;
        fit();
        usualUp += (members.size() - usualUp) * SUBPERIOD / UP_KEPT;
        sentShare += askRate > 0 ? (Math.min(1, sendRate / askRate) - sentShare) * SLOW : 0;
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
        if (edges % 64 == 0) { // state of idle customers goes when their stores must be full
            customers.values().removeIf(c -> !active.contains(c) && !c.inRing && now - c.seen > ACCOUNT);
            hosts.values()
                    .removeIf(h -> hosts.size() > members.size() + REMEMBERED
                            && h.out.isEmpty()
                            && !h.cordoned
                            && !members.containsKey(h.id));
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
        lineUntil = Math.max(lineUntil, now + mean * (0.5 + random.nextDouble()));
        at(Kind.RETRY, lineUntil, null);
    }

    private long epoch() {
        return (long) Math.floor(now / ACCOUNT);
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
        return ConsistentHashRing.mix(c.key + 2 * epoch) >>> 1;
    }

    private static long slotName(Customer c, long epoch) {
        return ConsistentHashRing.mix(c.key + 2 * epoch + 1) >>> 1;
    }

    /** The re-split: adds the weight of what is held and to come; the total tells what all put before it. */
    private void claim(Customer c, double weight) {
        if (c.asking || alone(c) || c.plan.rate() <= 0 || now < c.askAt || !mayCall()) {
            return;
        }
        double wait = c.queue.isEmpty() ? 0 : Math.max(0, lastCall(c.queue.last()) - now);
        double room = Math.floor(c.level + c.plan.rate() / 1000 * (now - c.levelAt + wait));
        if (now >= c.levelAt + readAgain(c)) {
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
        return Math.min(c.plan.burst(), c.level + c.plan.rate() / 1000 * (now - c.levelAt));
    }

    /** So much of the quota is left that what is of no use any more takes nothing from others. */
    private boolean plenty(Customer c) {
        return alone(c) ? c.credits >= c.plan.burst() / c.spread / 2 : level(c) >= c.plan.burst() / 2;
    }

    /** What is believed to be in the store: others have gone on as they did when they were last heard of. */
    private double left(Customer c) {
        double others = (c.allUnits - c.ownUnits) * Math.log(2) / FORGET;
        double fills = Math.max(0, c.plan.rate() / 1000 - others);
        return Math.min(c.plan.burst(), c.left + fills * (now - c.leftAt));
    }

    /** What the quota has filled under the name of an epoch: a burst and the rate since. */
    private double filled(Customer c, long epoch) {
        return c.plan.burst() + c.plan.rate() * (now - epoch * ACCOUNT) / 1000;
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
        double excess = before - Math.max(-rate * longestAim, Math.min(before, most));
        boolean far = Math.abs(excess) > c.plan.burst() * DRIFT;
        // one of a set goes first with a name that is new to all; what is missing may be on its way back
        double after = excess < 0
                ? SUBPERIOD
                : c.doubted ? c.place * set.capabilities().counterTimeout() : 0;
        c.farFrom = far ? Math.min(c.farFrom, now) : Double.MAX_VALUE;
        c.doubted &= far;
        boolean fix = far && now >= c.farFrom + after;
        if (fix) { // idle time, a new or lost name, lost calls: put right
            c.fixed = excess;
            c.farFrom = Double.MAX_VALUE;
            call(c, name(c, c.askEpoch), excess, Why.FIX);
        }
        boolean untrue = excess < 0 && far && !fix; // read again at the next edge, and nothing had till then
        before = untrue ? -rate * longestAim : before - (far ? excess : Math.max(0, excess));
        double wait = c.queue.isEmpty() ? 0 : lastCall(c.queue.last()) - now;
        double part = Math.floor(Math.max(0, Math.min(c.claimed, before + rate * wait)) + 1e-6);
        double ready = Math.floor(Math.max(0, Math.min(part, before)) + 1e-6);
        c.credits += ready;
        for (double k = ready + 1; k <= part; k++) {
            c.due.add(new double[] {now + (k - before) / rate, 1});
            c.dueUnits++;
            at(Kind.RETRY, now + (k - before) / rate, null);
        }
        c.level = c.guess = untrue ? 0 : before - part;
        double own = part + c.added - c.claimed;
        if (c.totalEpoch == c.askEpoch) {
            shared(c, Math.max(0, own), total + part - c.claimed - c.lastTotal);
        }
        c.totalEpoch = c.askEpoch;
        c.lastTotal = total + part - c.claimed + (fix ? excess : 0);
        c.left = c.level;
        c.levelAt = c.guessAt = c.leftAt = now;
        c.inside += (part / c.claimed - c.inside) / 2; // few readings, and the last tells most
        usuallyInside += (part / c.claimed - usuallyInside) * SLOW;
        if (part < c.claimed) {
            c.askAt = nextEdge();
            call(c, name(c, c.askEpoch), part - c.claimed, Why.GIVE);
        }
    }

    /** Of what all had since the last reading, so much was had here: old readings count less and less. */
    private void shared(Customer c, double own, double all) {
        double kept = Math.pow(0.5, (now - c.sharedAt) / FORGET);
        c.sharedAt = now;
        c.ownUnits = c.ownUnits * kept + own;
        // more than that is a name that another gateway has put right
        double most = own + c.plan.burst() + c.plan.rate() / 1000 * (now - c.leftAt);
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
            c.levelAt = c.guessAt = c.leftAt = now;
        }
    }

    /** Parts fall due; while the counter is away the share of the rate comes as last known. */
    private void accrue(Customer c) {
        while (!c.due.isEmpty() && c.due.peek()[0] <= now + 1e-6) {
            c.credits += c.due.peek()[1];
            c.dueUnits -= c.due.poll()[1];
        }
        if (alone(c) || now < counterSilentUntil) {
            double from = Math.max(c.accruedAt, alone(c) ? 0 : silentSince);
            double room = Math.max(set.maxUnits(), c.plan.burst() * c.share);
            c.share += (1.0 / c.spread - c.share) * FAST * Math.min(1, (now - from) / SUBPERIOD);
            double more = Math.min(room - c.credits, c.plan.rate() * c.share * (now - from) / 1000);
            c.credits += Math.max(0, more);
            c.unclaimed += alone(c) ? 0 : Math.max(0, more);
        }
        c.accruedAt = now;
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
        if (!c.asking && now >= c.askAt) {
            c.asking = true;
            c.slotEpoch = (long) Math.floor(now / OPEN_EPOCH);
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
            c.askAt = now + LOOK_AGAIN;
            at(Kind.RETRY, c.askAt, null);
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
                r.useful - LAST_CALL * r.type.mean,
                r.deadline - (1 - HELD_SHARE) * r.told.clientTimeout() - 2 * set.tick());
    }

    private boolean covered(Customer c, Req r) {
        accrue(c);
        if (c.plan.rate() > 0 && c.credits < r.told.units()) {
            double weight = Math.ceil(c.held - c.credits - c.dueUnits - 1e-6);
            // no use to add where the last reading leaves nothing in time
            double known = c.level + c.plan.rate() / 1000 * (now - c.levelAt + lastCall(r) - now);
            if (weight > 0 && (known >= r.told.units() || now >= c.levelAt + readAgain(c))) {
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
                && ((c.totalEpoch != Long.MIN_VALUE && now < c.levelAt + FORGET)
                        || 2 * now >= r.deadline - r.told.clientTimeout() + lastCall(r)); // half of its wait here
    }

    /** Sending earns more than it costs, by what the plan tells, and servers are not pressed. */
    private boolean believed(Customer c) {
        double cost = c.plan.excessCost();
        return paceRate >= askRate && c.inside > cost / (1 + cost - Math.min(c.plan.excessWeight(), 0.99));
    }

    private double guess(Customer c) {
        return Math.min(c.plan.burst(), c.guess + c.plan.rate() / 1000 * (now - c.guessAt));
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
            Host h = paced() ? choose(r) : null;
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
                c.guessAt = now;
                c.uncounted += untold;
                c.left = left(c) - untold;
                c.level = level(c) - untold;
                c.leftAt = c.levelAt = now;
            }
            at(Kind.DEADLINE, r.deadline, r);
            send(r, h);
            blocked = 0;
        }
    }

    /** All servers late alike: this gateway slows down, as a bound at each server sees too few answers. */
    private boolean paced() {
        double most = Math.max(2, paceRate * SUBPERIOD / 1000);
        paceCredit = Math.min(most, paceCredit + paceRate * (now - pacedAt) / 1000);
        pacedAt = now;
        if (paceCredit < 1 && now >= paceWake) {
            paceWake = now + Math.max(set.tick(), (1 - paceCredit) / paceRate * 1000);
            at(Kind.RETRY, paceWake, null);
        }
        return paceCredit >= 1;
    }

    /** A gateway with few answers takes larger steps, so that all are as quick down and up again. */
    private void pace(boolean late) {
        double step = Math.max(PACE_STEP, Math.min(0.25, 1 / Math.max(1, askRate)));
        paceRate = late ? paceRate * Math.pow(1 - step, 3) : paceRate + step * askRate;
        double most = edges < 4 ? paceRate : Math.max(1, 2 * askRate);
        paceRate = Math.max(Math.max(0.1, askRate / 8), Math.min(paceRate, most));
    }

    // ---- server choice and health ----

    /** The server with the least (requests out + 1) x slowness, of those that may get this request. */
    private Host choose(Req r) {
        Host best = null;
        double bestScore = 0;
        for (Host h : members.values()) {
            boolean back = now >= h.backAt;
            if (!mayGet(r, h) || (!back && !room(h))) {
                continue;
            }
            if (back) {
                return h; // quick servers without a queue would leave a cold one unused
            }
            double score = (h.out.size() + 1) * slowness(h) / Math.sqrt(warmth(h));
            boolean been = !r.attempts.isEmpty() && r.attempts.stream().anyMatch(a -> a.host == h);
            score *= (1 + 0.1 * random.nextDouble()) * (1 + 8 * failing(h, r.type)) * (been ? 8 : 1);
            if (best == null || score < bestScore) {
                best = h;
                bestScore = score;
            }
        }
        return r.type.told.retriesStayInScope() ? orOutside(r, best) : best;
    }

    /** A repeat that must stay in a zone or cell, of which the set has no other, takes one outside. */
    private Host orOutside(Req r, Host found) {
        Optional<Attempt> ran = r.attempts.stream().filter(Attempt::mayHaveRun).findFirst();
        if (ran.isEmpty() || (found != null && r.attempts.stream().noneMatch(a -> a.host == found))) {
            return found;
        }
        EndpointDescriptor first = ran.get().host.told;
        return (r.type.told.retryScope() == RetryScope.CELL
                        ? list.inCell(first.cell())
                        : list.inBuckets(working.buckets(working.covered, set.nodeCount())))
                .limit(LOOK)
                .filter(s -> !working.covers(s.id()) && s.zone().equals(first.zone()))
                .map(s -> known(s.id()))
                .filter(h -> !h.cordoned && mayGet(r, h) && r.attempts.stream().noneMatch(a -> a.host == h))
                .findFirst()
                .orElse(found);
    }

    /** How likely this server fails this class, or cannot be reached; forgotten in time. */
    private double failing(Host h, Type type) {
        double[] seen = h.failing.get(type);
        return seen == null ? 0 : seen[0] * Math.pow(0.5, (now - seen[1]) / (4 * FORGET));
    }

    /** How much slower than usual: the EWMA, forgotten in time, or what the oldest attempt out shows. */
    private double slowness(Host h) {
        double slow = 1 + (h.slow - 1) * Math.pow(0.5, (now - h.slowAt) / FORGET);
        if (!h.out.isEmpty()) {
            Attempt a = h.out.iterator().next();
            slow = Math.max(slow, (now - a.sent) / a.req.type.mean / 2);
        }
        return slow;
    }

    /** Room under the bound; a bound under one is a pause, as one attempt of every node can be too much. */
    private boolean room(Host h) {
        return h.out.isEmpty()
                ? h.limit >= 1 || now >= h.lastSent + meanAim / 2 / h.limit
                : !h.trial && h.out.size() + 1 <= h.limit;
    }

    /** Additive increase where the bound was reached and the answer quick, else decrease. */
    private void bound(Host h, Type type, double took) {
        if (took <= type.told.latencyObjective() / 2) { // later ones were counted when they became late
            pace(false);
        }
        if (took > type.told.latencyObjective() / 4) { // the rest is for waiting here and another try
            h.limit = Math.max(LIMIT_LEAST, h.limit * LIMIT_DOWN);
        } else if (h.out.size() + 1 >= (int) h.limit) {
            h.limit += 1 / Math.max(1, h.limit);
        }
    }

    private void learn(Host h, Type type, CallOutcome outcome, double took) {
        boolean ok = outcome == CallOutcome.OK;
        if (outcome != CallOutcome.CANCELLED && outcome != CallOutcome.NOT_SENT) {
            h.failing.put(type, new double[] {(failing(h, type) + (ok ? 0 : 1)) / 2, now});
        }
        switch (outcome) {
            case OK -> {
                sample(h, took / type.mean);
                type.mean += (took - type.mean) * SLOW;
                bound(h, type, took);
                if (h.wasDead) {
                    cold(h, now); // it may have restarted before the list says so
                }
                h.fails = 0;
                h.trial = false;
                h.wasDead = false;
                h.ejections = 0;
            }
            case TIMEOUT -> {
                sample(h, Math.max(1, took / type.mean));
                type.mean += Math.max(0, took - type.mean) * SLOW; // at least so long
                bound(h, type, took);
                fault(h, 1);
            }
            case FULL -> {
                sample(h, 2 * h.slow);
                fault(h, 0.5);
            }
            case NO_CONNECTION -> { // one may be chance; a dead process fails the next and the trial too
                h.wasDead |= h.trial;
                fault(h, 2);
            }
            case RESET -> fault(h, 1); // one connection: a process that died resets all
            default -> {}
        }
    }

    private void sample(Host h, double value) {
        h.slow = 1 + (h.slow - 1) * Math.pow(0.5, (now - h.slowAt) / FORGET);
        h.slow += (Math.min(value, 30) - h.slow) * FAST;
        h.slowAt = now;
    }

    /** Ejects on evidence, for longer each time, and never more than half of the fleet. */
    private void fault(Host h, double weight) {
        h.fails += weight;
        if ((h.fails < 3 && !h.trial) || now < h.ejectedUntil) {
            return;
        }
        if (2 * members.values().stream().filter(this::ejected).count() + 2 <= members.size()) {
            h.ejectedUntil = now + EJECT * Math.pow(2, h.ejections);
            h.ejections = Math.min(h.ejections + 1, EJECT_DOUBLINGS);
            h.trial = true;
        }
    }

    private boolean ejected(Host h) {
        return now < h.ejectedUntil;
    }

    // ---- attempts: sends, retries ----

    private void send(Req r, Host h) {
        Attempt a = new Attempt(r, h, now);
        r.attempts.add(a);
        r.out++;
        r.customer.out++;
        if (!members.containsKey(h.id)) {
            act.retainEndpoint(h.told);
        }
        h.out.add(a);
        h.coldCredit -= 1;
        h.lastSent = now;
        h.backAt = Double.MAX_VALUE;
        sentInPeriod++;
        outInPeriod += r.type.mean;
        paceCredit--;
        at(Kind.LATE, now + r.type.told.latencyObjective() / 2, r);
        act.sendAttempt(r.told.id(), h.id, 0);
    }

    /** Every attempt has ended without an answer: try elsewhere where it is allowed and of use, or answer. */
    private void again(Req r) {
        FailureReason over = noRepeat(r);
        if (over != null) {
            answer(r, over);
            return;
        }
        Host h = paced() ? choose(r) : null; // the pace is the retry budget too: all that is sent goes by it
        if (h == null) {
            at(Kind.RETRY, now + LOOK_AGAIN, r);
        } else {
            send(r, h);
        }
    }

    /** Why no further attempt may follow those that have ended; null where one may. */
    private FailureReason noRepeat(Req r) {
        if (now >= r.useful || now >= r.deadline - 2 * set.tick()) {
            return FailureReason.NO_TIME_TO_REPEAT;
        }
        if (!mayRepeat(r)) {
            return FailureReason.NOT_REPEATABLE;
        }
        return r.attempts.size() >= set.capabilities().maxAttempts() ? FailureReason.ATTEMPTS_USED : null;
    }

    /** The final answer of a request that no attempt can answer any more. */
    private void answer(Req r, FailureReason reason) {
        if (mayRefuse(r)) {
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
            if (r.attempts.get(i).outcome == null) {
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

    /** Drains, ejections, groups and cold budgets: may this request go to this server now? */
    private boolean mayGet(Req r, Host h) {
        return !ejected(h) && inGroup(r, h) && (warmth(h) >= 1 || now >= h.backAt || coldBudget(h) >= 1);
    }

    /** Sends due to a cold server; what is not used lapses, as all gateways would need it together. */
    private double coldBudget(Host h) {
        double rate = coldRate(h);
        h.coldCredit += rate * (now - h.coldAt);
        double kept = rate * UNUSED_KEPT * set.rules().overloadWindow();
        h.coldCredit -= Math.max(0, Math.floor(h.coldCredit - kept));
        h.coldAt = now;
        return h.coldCredit;
    }

    /** This gateway's part of what a cold server bears, a ms: by what is asked, over the usual servers. */
    private double coldRate(Host h) {
        double most = Math.max(1, set.rules().overloadFactor() / 2);
        double mean = Math.max(sendRate, Math.min(askRate * sentShare, paceRate)) / Math.max(1, usualUp);
        return mean / 1000 * warmth(h) * most;
    }

    private void cold(Host h, double since) {
        if (warmth(h) >= 1) {
            h.coldCredit = random.nextDouble();
            h.coldAt = now;
        }
        h.coldFrom = Math.max(h.coldFrom, since);
    }

    /** The least capacity that a server can have by now, 1 when it is warm. */
    private double warmth(Host h) {
        double age = now - h.coldFrom;
        double cold = set.rules().slowStartInitialShare();
        double warm = set.rules().slowStartDuration();
        return age >= warm ? 1 : cold + (1 - cold) * Math.max(0, age) / warm;
    }

    /** Whether another attempt may go out now, wherever it goes; two are never out together. */
    private boolean mayRepeat(Req r) {
        OptionalDouble ran = r.attempts.stream()
                .filter(Attempt::mayHaveRun)
                .mapToDouble(a -> a.sent)
                .min();
        return ran.isEmpty()
                || switch (r.type.told.idempotency()) {
                    case IDEMPOTENT -> true;
                    case IDEMPOTENCY_KEY -> now - ran.getAsDouble() < r.type.told.idempotencyWindow() - 2 * set.tick();
                    case NON_IDEMPOTENT -> false;
                };
    }

    private boolean inGroup(Req r, Host h) {
        RetryScope group = r.type.told.retryScope();
        return r.attempts.isEmpty()
                || !r.type.told.retriesStayInScope()
                || r.attempts.stream()
                        .noneMatch(a -> a.mayHaveRun()
                                && (group == RetryScope.ZONE
                                        ? !a.host.told.zone().equals(h.told.zone())
                                        : a.host.told.cell() != h.told.cell()));
    }

    private static boolean mayRefuse(Req r) {
        return (r.type.told.idempotency() != Idempotency.NON_IDEMPOTENT && !r.type.told.retriesStayInScope())
                || r.attempts.stream().noneMatch(Attempt::mayHaveRun);
    }

    /** The hard ceiling: the even part rounded down, empty at the start, whatever the counter says. */
    private boolean underCeiling(Customer c, Req r) {
        if (c.plan.ceilingRate() <= 0) {
            return true;
        }
        c.ceiling = Math.min(
                Math.floor(c.plan.ceilingBurst() / c.spread),
                c.ceiling + (now - c.ceilingAt) / 1000 * c.plan.ceilingRate() / c.spread);
        c.ceilingAt = now;
        return c.ceiling >= r.told.units();
    }

    // ---- timers ----

    private void at(Kind kind, double time, Req r) {
        timers.add(now, time, new Timer(kind, r));
    }

    private void begin(double time) {
        now = Math.max(now, time);
        for (Timer t = timers.poll(now); t != null; t = timers.poll(now)) {
            Req r = t.req;
            switch (t.kind) {
                case EDGE -> onEdge();
                case SUBSCRIBE -> act.subscribeToEndpoints();
                case EXPIRE -> {
                    if (!r.over && r.attempts.isEmpty()) {
                        r.customer.shortUntil = now + r.type.told.latencyObjective();
                        answer(r, FailureReason.HELD_TOO_LONG);
                    }
                }
                case LATE -> {
                    double sent = r.attempts.get(r.attempts.size() - 1).sent;
                    if (r.out > 0 && sent <= now - r.type.told.latencyObjective() / 2) {
                        pace(true);
                    }
                }
                case DEADLINE -> {
                    if (!r.over && !r.streaming) {
                        answer(r, FailureReason.DEADLINE);
                    }
                }
                default -> {
                    if (r != null && !r.over && r.out == 0) {
                        again(r);
                    }
                }
            }
        }
    }
}
