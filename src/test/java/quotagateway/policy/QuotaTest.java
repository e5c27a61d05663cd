package quotagateway.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.IncomingRequest;
import quotagateway.policy.api.QuotaPlan;

/** The plan "rate": 8 units a second, burst 8, so D = 2 a subperiod. */
class QuotaTest {
    private static final CallOutcome OK = CallOutcome.OK;

    /** Sends a second in the last 4 s of 12 s of far too many requests; others add as told in between. */
    private static double rate(PolicyHarness b, CallOutcome outcome, double othersPerSecond) {
        b.start().servers(8);
        long before = 0;
        for (int i = 0; i < 600; i++) {
            b.to(i * 20);
            b.others(othersPerSecond);
            b.answerCounter(outcome);
            if (i == 400) {
                before = b.count("send");
            }
            b.arrive(i, "read", "rate", "c");
            b.answerCounter(outcome);
            for (int k = Math.max(0, i - 60); k <= i; k++) { // what was sent is answered; else an odd event
                b.end(k, 0, OK);
            }
        }
        return (b.count("send") - before) / 4.0;
    }

    @Test
    void aFirstRequestIsClaimedAtOnceAndHeldUntilTheTotalIsKnown() {
        PolicyHarness b = new PolicyHarness().start().servers(8);
        b.arrive(1, "read", "rate", "c");
        assertEquals(0, b.count("send"), "no part has been given yet");
        assertEquals(1, b.count("count 1.0"), "its weight");
        b.answerCounter(OK);
        assertEquals(1, b.count("send 1"));
    }

    @Test
    void whatTheStoreDoesNotCoverWaitsForTheRate() {
        PolicyHarness b = new PolicyHarness().start().servers(8);
        for (int i = 0; i < 20; i++) {
            b.arrive(i, "read", "rate", "c");
        }
        b.answerCounter(OK);
        b.answerCounter(OK);
        assertEquals(8, b.count("send"), "the burst of 8");
        long before = b.count("send");
        b.to(260);
        assertTrue(b.count("send") - before >= 1 && b.count("send") - before <= 3, "D = 2 a subperiod");
    }

    /** All that is held was added, and most of it taken off again: two calls where none had been of use. */
    @Test
    void noMoreIsClaimedThanTheLastReadingLeaves() {
        PolicyHarness b = new PolicyHarness().start().servers(8);
        for (int i = 0; i < 20; i++) {
            b.arrive(i, "read", "rate", "c");
        }
        b.answerCounter(OK);
        assertEquals(1, b.count("count 10.0"), "7 in the store and what comes until they are of no use");
        b.answerCounter(OK);
        b.to(440);
        assertEquals(0, b.count("count -"), "nothing to give back: " + b.log);
    }

    @Test
    void whatOthersTookMeanwhileIsGivenBack() {
        PolicyHarness b = new PolicyHarness().start().servers(8);
        for (int i = 0; i < 20; i++) {
            b.arrive(i, "read", "rate", "c");
        }
        b.othersTook(4);
        b.answerCounter(OK);
        b.answerCounter(OK);
        assertEquals(4, b.count("send"), "what is left of the burst");
        assertEquals(1, b.count("count -4.0"), b.log.toString());
    }

    @Test
    void aloneItTakesTheWholeQuota() {
        assertEquals(8, rate(new PolicyHarness(), OK, 0), 0.8);
    }

    @Test
    void whatOthersTookIsLeftOut() {
        assertEquals(2, rate(new PolicyHarness(), OK, 6), 0.9);
    }

    @Test
    void aCounterThatNeverAnswersMeansNoMoreThanTheEvenPart() {
        double rate = rate(new PolicyHarness(), CallOutcome.NO_CONNECTION, 0);
        assertTrue(rate > 2 && rate < 5, "even part 4: " + rate);
    }

    /** A connection to the counter that breaks is no crowding: slowing down for it refused nine in ten. */
    @Test
    void brokenCounterConnectionsDoNotSlowTheCalls() {
        PolicyHarness b = new PolicyHarness().start().servers(8);
        for (int i = 0; i < 200; i++) {
            b.to(i * 250);
            b.arrive(2L * i, "read", "rate", "x" + i);
            b.answerCounter(CallOutcome.RESET);
            b.arrive(2 * i + 1, "read", "rate", "y" + i);
            b.answerCounter(OK);
        }
        b.to(51_000);
        b.answerCounter(OK);
        long before = b.count("count 1.0");
        for (int i = 1000; i < 1060; i++) {
            b.arrive(i, "read", "rate", "z" + i);
        }
        assertTrue(b.count("count 1.0") - before >= 7, "calls: " + (b.count("count 1.0") - before));
    }

    /** A give-back that was turned away was added once more in place of taken off with the next call. */
    @Test
    void aGiveBackThatWasTurnedAwayIsMadeUp() {
        double[] given = afterGiveBack(OK);
        for (CallOutcome outcome : List.of(CallOutcome.FULL, CallOutcome.RESET)) {
            double[] turned = afterGiveBack(outcome);
            assertEquals(given[0], turned[0]);
            assertEquals(given[1] + given[0], turned[1], "the next call takes it off too");
        }
    }

    /** What was given back of a claim past the store, and the next amount added once that had ended. */
    private static double[] afterGiveBack(CallOutcome outcome) {
        PolicyHarness b = new PolicyHarness().start().servers(8);
        for (int i = 0; i < 20; i++) {
            b.arrive(i, "read", "rate", "c");
        }
        b.othersTook(4);
        b.answerCounter(OK); // the claim of the first
        b.answerCounter(OK); // of the rest
        assertEquals(1, b.calls.size(), b.log.toString());
        double back = Double.parseDouble(b.log.stream()
                .filter(l -> l.startsWith("count "))
                .reduce((p, l) -> l)
                .orElseThrow()
                .substring("count ".length()));
        assertTrue(back < 0, b.log.toString());
        b.answerCounter(outcome);
        b.log.clear();
        b.to(1500);
        b.arrive(50, "read", "rate", "c");
        return new double[] {
            back,
            Double.parseDouble(b.log.stream()
                    .filter(l -> l.startsWith("count "))
                    .findFirst()
                    .orElseThrow()
                    .substring("count ".length()))
        };
    }

    /** Eight broken connections in a row were taken for a counter that is away: nothing was asked for 2 s. */
    @Test
    void brokenCounterConnectionsDoNotMeanSilence() {
        PolicyHarness b = new PolicyHarness().start().servers(8);
        for (int i = 0; i < 20; i++) {
            b.arrive(i, "read", "rate", "x" + i);
            b.answerCounter(CallOutcome.RESET);
        }
        b.arrive(20, "read", "rate", "y");
        assertEquals(21, b.count("count 1.0"), "the counter is still asked");
    }

    @Test
    void aRefusingCounterIsNotFlooded() {
        PolicyHarness b = new PolicyHarness();
        rate(b, CallOutcome.FULL, 0);
        assertTrue(b.count("count") < 12 * 4 * 2, "calls: " + b.count("count"));
    }

    @Test
    void aHundredGatewaysTogetherKeepTheQuotaAndFollowWeight() {
        Map<Long, Double> counter = new HashMap<>();
        List<PolicyHarness> all = new ArrayList<>();
        for (int n = 0; n < 100; n++) {
            PolicyHarness b = new PolicyHarness();
            b.me = n;
            b.nodes = 100;
            b.sums = counter;
            all.add(b.start().servers(400));
        }
        long id = 0;
        for (int t = 0; t < 20000; t += 40) {
            for (PolicyHarness b : all) {
                b.to(t);
            }
            PolicyHarness b = all.get(t % 160 == 0 ? 7 : (int) (id % 50)); // gateway 7 has a quarter and more
            b.module.onRequest(t, new IncomingRequest(id, "read", "rate", "c", 2000, 1, 100, 0, false));
            b.answerCounter(OK);
            b.end(id++, 0, OK);
        }
        long sent = all.stream().mapToLong(b -> b.count("send")).sum();
        assertTrue(sent <= 8 + 8 * 20 + 2 && sent > 8 * 20 * 0.8, "burst 8 and 8 a second for 20 s: " + sent);
        assertTrue(
                all.get(7).count("send") > sent / 8.0, "weight: " + all.get(7).count("send"));
    }

    @Test
    void aNewCustomerOverThreeHundredGatewaysDoesNotExceedItsBurst() {
        Map<Long, Double> counter = new HashMap<>();
        long sent = 0;
        for (int n = 0; n < 300; n++) {
            PolicyHarness b = new PolicyHarness();
            b.me = n;
            b.nodes = 300;
            b.sums = counter;
            b.start().servers(8);
            b.module.onRequest(0, new IncomingRequest(n, "read", "rate", "c", 2000, 1, 300, 0, false));
            b.answerCounter(OK);
            sent += b.count("send");
        }
        assertEquals(8, sent);
    }

    @Test
    void aLostNameDoesNotGiveTheBurstAgain() {
        PolicyHarness b = new PolicyHarness().start().servers(8);
        for (int i = 0; i < 8; i++) {
            b.arrive(i, "read", "rate", "c");
            b.answerCounter(OK);
        }
        assertEquals(8, b.count("send"));
        b.sums.clear();
        b.to(100);
        for (int i = 10; i < 18; i++) {
            b.arrive(i, "read", "rate", "c");
            b.answerCounter(OK);
        }
        assertTrue(b.count("send") <= 9, "sent " + b.count("send"));
    }

    /** The plan of a customer's first request was that of all its later ones. */
    @Test
    void aRequestIsHeldAgainstTheQuotaOfItsOwnPlan() {
        PolicyHarness b = new PolicyHarness().start().servers(8);
        for (int i = 0; i < 8; i++) {
            b.arrive(i, "read", "rate", "c");
            b.answerCounter(OK);
        }
        b.arrive(10, "read", "big", "c", 3, 2);
        b.answerCounter(OK);
        assertEquals(1, b.count("send 10"), "a thousand units a second: " + b.log);
        b.arrive(11, "read", "rate", "c");
        b.answerCounter(OK);
        assertEquals(0, b.count("send 11"), "the burst of 8 is used up");
    }

    @Test
    void aLateCallIsMadeUpForByTheNextAdd() {
        PolicyHarness b = new PolicyHarness().start().servers(8);
        b.arrive(1, "read", "rate", "c");
        b.answerCounter(CallOutcome.TIMEOUT);
        b.to(300);
        assertEquals(1, b.count("count 0.0"), "the weight is on the counter already");
        b.answerCounter(OK);
        assertEquals(1, b.count("send 1"));
    }

    @Test
    void withNoCallToBeHadARequestGoesByBeliefAndIsToldLater() {
        PolicyHarness b = new PolicyHarness();
        b.nodes = 1000; // a first allowance of one call for this gateway
        b.start().servers(2000);
        for (int i = 0; i < 12; i++) {
            b.arrive(i, "read", "rate", "c" + i);
        }
        assertEquals(1, b.count("count 1.0"));
        assertEquals(0, b.count("send"), "nothing was read of any of them: a call is waited for");
        b.to(260);
        assertEquals(11, b.count("send"), "none of them was ever short");
        b.answerCounter(OK);
        b.log.clear();
        b.arrive(20, "read", "rate", "c5");
        assertEquals(1, b.count("count 2.0"), "the one sent by belief and this one");
    }

    /** Fourteen gateways each called anew while their late calls stood in line: half of all were late. */
    @Test
    void aCallThatTimedOutIsGivenTimeToLeaveTheLine() {
        PolicyHarness b = new PolicyHarness();
        b.nodes = 1000; // one call at a time at first
        b.start().servers(2000);
        for (int i = 0; i < 4; i++) {
            b.arrive(i, "read", "rate", "c" + i);
        }
        b.to(50);
        assertEquals(1, b.count("count"));
        b.answerCounter(CallOutcome.TIMEOUT);
        b.to(74);
        assertEquals(1, b.count("count"), "nothing new for half of the limit of 50 ms: " + b.log);
        b.to(126);
        assertEquals(2, b.count("count"), "and the next by itself soon behind: " + b.log);
    }

    /** Sixty gateways with one call out each: two in three were late, as the counter had a line of them. */
    @Test
    void whereOneCallAGatewayIsTooManyThereArePausesBetweenThem() {
        PolicyHarness b = new PolicyHarness();
        b.nodes = 1000;
        b.start().servers(2000);
        assertTrue(callsASecond(b, 45) <= 5, "answers close to the limit of 50 ms: a line");
        assertTrue(callsASecond(b, 5) >= 15, "and none: " + b.log.size());
    }

    /** A counter that was away for some seconds left a gateway of three with pauses of a second and more. */
    @Test
    void behindASilenceCallsAreNotPausedAsInACrowd() {
        PolicyHarness b = new PolicyHarness().start().servers(100);
        for (int i = 0; i < 300; i++) {
            b.to(i * 20);
            b.arrive(i, "read", "rate", "c" + i);
            b.answerCounter(CallOutcome.TIMEOUT);
        }
        while (b.count("count") == 0 || b.calls.isEmpty()) {
            b.to(b.now + 20);
            b.arrive((long) b.now, "read", "rate", "d" + b.now);
        }
        b.answerCounter(OK);
        long before = b.count("count");
        for (int i = 0; i < 100; i++) {
            b.to(b.now + 10);
            b.arrive(100_000 + i, "read", "rate", "e" + i);
            b.answerCounter(OK);
        }
        assertTrue(b.count("count") - before >= 50, "in a second: " + (b.count("count") - before));
    }

    /** In the last 2 s of 12 s of requests for customers not seen before. */
    private static double callsASecond(PolicyHarness b, double took) {
        double from = b.now;
        long before = 0;
        for (double t = from; t < from + 12000; t += took) {
            b.to(t);
            before = t < from + 10000 ? b.count("count") : before;
            b.arrive((long) t, "read", "rate", "c" + t);
            while (!b.calls.isEmpty()) {
                long name = b.calls.remove(0)[0];
                double total = b.totals.remove(0);
                b.to(b.now + took);
                b.module.onCounterReply(b.now, name, OK, took, total);
            }
        }
        return (b.count("count") - before) / 2.0;
    }

    /** A hundred gateways that read an empty store twice a second left the counter nothing else to do. */
    @Test
    void anEmptyStoreIsReadAgainLaterWhereItsSetIsLarge() {
        for (int spread : List.of(2, 100)) {
            PolicyHarness b = new PolicyHarness();
            b.nodes = 1000; // one call at a time at first
            b.plans = List.of(new QuotaPlan("slow", 1, 8, 0, 1, 0, 1, 0, 0, 0));
            b.start().servers(2000);
            b.arrive(1, "read", "slow", "c", 2, spread);
            b.answerCounter(OK);
            b.othersTook(7);
            b.arrive(2, "read", "slow", "c", 2, spread);
            while (!b.calls.isEmpty()) {
                b.answerCounter(OK);
            }
            b.log.clear();
            b.to(600);
            b.arrive(3, "read", "slow", "c", 2, spread);
            assertEquals(spread == 2 ? 1 : 0, b.count("count"), spread + ": " + b.log);
        }
    }

    /**
     * Calls were bounded in number for each subperiod, and all came at its edge: a counter that takes 9 ms
     * for one answered most of them past their limit. Now so many are out as it answers in time.
     */
    @Test
    void aSlowCounterIsAskedByFewCallsAtATime() {
        PolicyHarness b = new PolicyHarness().start().servers(100);
        int most = 0;
        double free = 0;
        java.util.ArrayDeque<Double> done = new java.util.ArrayDeque<>();
        List<Double> late = new ArrayList<>();
        for (int t = 0; t < 8000; t++) {
            b.to(t);
            b.arrive(t, "read", "big", "c" + t % 40);
            while (done.size() < b.calls.size()) { // the counter takes 9 ms for each, one behind another
                free = Math.max(free, t) + 9;
                done.add(free);
            }
            if (t > 4000) {
                most = Math.max(most, b.calls.size());
            }
            while (!done.isEmpty() && done.peek() <= t) {
                double took = 9 * b.calls.size(); // about: those behind it have come since
                late.add(took);
                b.module.onCounterReply(
                        t, b.calls.remove(0)[0], took > 50 ? CallOutcome.TIMEOUT : OK, took, b.totals.remove(0));
                done.poll();
            }
            for (int k = Math.max(0, t - 500); k <= t; k++) { // what was held meanwhile is answered too
                b.end(k, 0, OK);
            }
        }
        assertTrue(most <= 8, "out at a time: " + most);
        assertTrue(late.size() > 700, "and it is kept busy: " + late.size());
        assertTrue(b.count("refuse") < 200, "refused though none is short: " + b.count("refuse"));
    }

    @Test
    void trueUnitsAreTakenFromTheCredits() {
        PolicyHarness b = new PolicyHarness();
        b.settled = true;
        b.mostUnits = 4;
        b.start().servers(8);
        b.arrive(1, "read", "rate", "c", 1, 2);
        b.answerCounter(OK);
        b.module.onAttemptEnded(0, 1, 0, OK, 20, true, 4, new double[0]);
        b.arrive(2, "read", "rate", "c", 1, 2);
        assertEquals(1, b.count("count 4.0"), "the 3 more of the first request and the 1 of this one");
    }

    @Test
    void openCapIsHeldByTheCount() {
        PolicyHarness b = new PolicyHarness().start().servers(8);
        b.arrive(1, "read", "open", "c");
        assertEquals(0, b.count("send"), "not before the counter has answered");
        b.answerCounter(OK);
        assertEquals(1, b.count("send 1"));
        b.arrive(2, "read", "open", "c");
        long name = b.calls.remove(0)[0];
        b.module.onCounterReply(0, name, OK, 2, 4);
        assertEquals(0, b.count("send 2"), "the fourth slot of three");
        assertEquals(1, b.count("count -1.0"), "given back");
        b.end(1, 0, OK);
        assertEquals(1, b.count("send 2"), "the slot of the first request is used again");
    }

    @Test
    void openCapWithoutACallIsOneAtATimeWhileTheLastCountsShowedRoom() {
        PolicyHarness b = new PolicyHarness().start().servers(8);
        for (int i = 0; i < 20; i++) { // the counter is away
            b.arrive(100 + i, "read", "open", "d" + i, 1, 100);
            b.answerCounter(CallOutcome.NO_CONNECTION);
        }
        b.log.clear();
        b.arrive(1, "read", "open", "c", 1, 100);
        b.arrive(2, "read", "open", "c", 1, 100);
        assertEquals(1, b.count("send"), "the even part of 3 over 100 is under one");
        b.end(1, 0, OK);
        assertEquals(2, b.count("send"));
    }

    @Test
    void aMarkedRepeatIsRefusedWhileItsCustomerIsShort() {
        PolicyHarness b = new PolicyHarness().start().servers(8);
        for (int i = 0; i < 30; i++) {
            b.arrive(i, "read", "rate", "c");
        }
        b.answerCounter(OK);
        b.to(600);
        assertTrue(b.count("refuse") > 0);
        b.module.onRequest(b.now, new IncomingRequest(99, "read", "rate", "c", 1500, 1, 2, 0, true));
        assertEquals(1, b.count("refuse 99"));
        b.module.onRequest(b.now, new IncomingRequest(98, "read", "rate", "c", 1500, 1, 2, 0, false));
        assertEquals(0, b.count("refuse 98"));
    }

    /** Held longer, a request that is never sent has used up what its client had for another try. */
    @Test
    void aRequestIsHeldForHalfOfItsClientsWaitAtMost() {
        PolicyHarness b = new PolicyHarness().start().servers(8);
        for (int i = 0; i < 30; i++) {
            b.module.onRequest(0, new IncomingRequest(i, "read", "rate", "c", 600, 1, 2, 0, false));
        }
        b.answerCounter(OK);
        b.answerCounter(OK);
        b.to(300);
        assertEquals(30, b.count("send") + b.count("refuse"), b.log.toString());
        assertTrue(b.count("refuse") > 0);
    }

    /** Two gateways at one counter; the arrivals are numbered on. */
    private static List<PolicyHarness> two() {
        Map<Long, Double> counter = new HashMap<>();
        List<PolicyHarness> both = new ArrayList<>();
        for (int n = 0; n < 2; n++) {
            PolicyHarness b = new PolicyHarness();
            b.sums = counter;
            both.add(b.start().servers(8));
        }
        return both;
    }

    /** So many arrive at a time, and the counter answers as far as it is asked; how many are sent at once. */
    private static long burst(PolicyHarness b, double time, int requests) {
        b.to(time);
        while (!b.calls.isEmpty()) {
            b.answerCounter(OK);
        }
        long before = b.count("send");
        for (int i = 0; i < requests; i++) {
            b.arrive((long) (time * 100 + i), "read", "rate", "c");
        }
        while (!b.calls.isEmpty()) {
            b.answerCounter(OK);
        }
        return b.count("send") - before;
    }

    /** What a full store did not take in stayed on the name: each gateway in turn took it for room. */
    @Test
    void whatAFullStoreDidNotTakeInIsTakenOffItsName() {
        List<PolicyHarness> both = two();
        assertEquals(2, burst(both.get(0), 0, 1) + burst(both.get(1), 0, 1));
        assertEquals(8, burst(both.get(0), 600, 8), "full since 250 ms");
        assertEquals(0, burst(both.get(1), 601, 8), "and used up");
    }

    /** All put a new name right at once: until all but one took theirs back, it showed far too little. */
    @Test
    void aNewNameIsPutRightByOneGatewayFirst() {
        Map<Long, Double> counter = new HashMap<>();
        long corrections = 0;
        List<PolicyHarness> all = new ArrayList<>();
        for (int n = 0; n < 4; n++) {
            PolicyHarness b = new PolicyHarness();
            b.me = n;
            b.nodes = 4;
            b.sums = counter;
            b.now = 20_000;
            all.add(b.start().servers(8));
            b.arrive(n, "read", "rate", "c", 1, 4);
        }
        for (PolicyHarness b : all) {
            b.answerCounter(OK);
            corrections += b.log.stream()
                    .filter(l -> l.startsWith("count 1") && l.length() > 9)
                    .count();
        }
        assertEquals(1, corrections, "what the quota has filled in 20 s");
        assertEquals(4, all.stream().mapToLong(b -> b.count("send")).sum());
    }

    /** At a new name the gateway that had read the old one longest ago took its reading for the store's. */
    @Test
    void aNewNameDoesNotGiveWhatOthersHaveTaken() {
        List<PolicyHarness> both = two();
        assertEquals(1, burst(both.get(0), 20_000, 1), "it last sees a full store");
        assertEquals(8, burst(both.get(1), 29_999, 8));
        assertEquals(0, burst(both.get(0), 30_001, 8), "the store is empty, whatever the name");
    }

    /**
     * Two gateways with an uneven customer that asks for more than it has: in silence their parts, by what
     * each was given before, are the quota; by what each had asked for they were up to twice that.
     */
    @Test
    void inSilenceThePartsOfAllGatewaysAreNoMoreThanTheQuota() {
        List<PolicyHarness> both = two();
        long id = 0;
        for (int t = 0; t < 16_000; t += 20) {
            for (PolicyHarness b : both) {
                b.to(t);
                b.answerCounter(t < 6000 ? OK : CallOutcome.NO_CONNECTION);
            }
            PolicyHarness b = both.get(t % 80 == 0 ? 1 : 0);
            b.arrive(id, "read", "rate", "c");
            b.answerCounter(t < 6000 ? OK : CallOutcome.NO_CONNECTION);
            for (long k = Math.max(0, id++ - 60); k < id; k++) { // what was sent is answered
                both.get(0).end(k, 0, OK);
                both.get(1).end(k, 0, OK);
            }
            if (t == 8000) {
                both.forEach(each -> each.log.clear());
            }
        }
        long sent = both.get(0).count("send") + both.get(1).count("send");
        assertTrue(sent > 50 && sent <= 8 * 8 + 2, "8 a second for 8 s: " + sent);
    }

    /** Requests move while nothing is heard: a gateway that had few before held them to its old part. */
    @Test
    void inSilenceAGatewaySoonHasTheEvenPart() {
        List<PolicyHarness> both = two();
        long before = 0;
        for (int t = 0; t < 10_000; t += 20) {
            CallOutcome outcome = t < 6000 ? OK : CallOutcome.NO_CONNECTION;
            for (PolicyHarness b : both) {
                b.to(t);
                b.answerCounter(outcome);
            }
            PolicyHarness b = both.get(t >= 6000 || t % 200 == 0 ? 1 : 0);
            b.arrive(t, "read", "rate", "c");
            b.answerCounter(outcome);
            for (long k = Math.max(0, t - 1000); k <= t; k += 20) {
                both.get(0).end(k, 0, OK);
                both.get(1).end(k, 0, OK);
            }
            before = t == 8000 ? both.get(1).count("send") : before;
        }
        long sent = both.get(1).count("send") - before;
        assertTrue(sent >= 3 && sent <= 9, "up to 4 a second for 2 s: " + sent);
    }

    /** A counter that is back empty had each gateway hand out what the others had sent in the meantime. */
    @Test
    void afterSilenceWhatOthersHaveSentIsNotGivenAgain() {
        List<PolicyHarness> both = two();
        long before = 0;
        for (int t = 0; t < 12_000; t += 20) {
            CallOutcome outcome = t < 6000 || t >= 11_000 ? OK : CallOutcome.NO_CONNECTION;
            if (t == 11_000) {
                both.get(0).sums.clear();
                before = both.get(0).count("send") + both.get(1).count("send");
            }
            for (PolicyHarness b : both) {
                b.to(t);
                b.answerCounter(outcome);
                b.arrive(t, "read", "rate", "c");
                b.answerCounter(outcome);
                for (long k = Math.max(0, t - 1000); k <= t; k += 20) {
                    b.end(k, 0, OK);
                }
            }
        }
        long sent = both.get(0).count("send") + both.get(1).count("send") - before;
        assertTrue(sent >= 4 && sent <= 13, "8 a second, the store was used up: " + sent);
    }

    /** What was sent in silence was taken off the store again when the counter was back, filled up or not. */
    @Test
    void whatWasSentInSilenceLongAgoIsNotTakenOffAFullStore() {
        PolicyHarness b = new PolicyHarness().start().servers(8);
        for (int i = 0; i < 500; i++) {
            b.to(i * 20);
            b.answerCounter(i < 50 ? OK : CallOutcome.NO_CONNECTION);
            b.arrive(i, "read", "rate", "c");
            b.answerCounter(i < 50 ? OK : CallOutcome.NO_CONNECTION);
            for (int k = Math.max(0, i - 60); k <= i; k++) {
                b.end(k, 0, OK);
            }
        }
        b.sums.clear();
        for (int t = 10_000; t < 12_500; t += 20) { // its customer rests, and the store fills up
            b.to(t);
            b.answerCounter(OK);
        }
        assertTrue(burst(b, 12_500, 8) >= 7, "a full store, and a counter that is back empty");
    }

    /** A reading amid another gateway's claim that is then cut was held against the store from then on. */
    @Test
    void aLowReadingIsNoBoundForTheNext() {
        PolicyHarness b = new PolicyHarness().start().servers(8);
        burst(b, 10_000, 6);
        b.othersTook(4);
        burst(b, 10_100, 1);
        b.othersTook(-4); // given back
        burst(b, 10_610, 0);
        double before = b.sums.values().iterator().next();
        burst(b, 10_611, 3);
        assertEquals(1, b.sums.values().iterator().next() - before, 1e-6, "a claim, and nothing put right");
    }

    /** A wait that is shorter than usual is the rest of a deadline: past the aim, its answer is of no use. */
    @Test
    void aTryThatHasWaitedPastItsAimTakesNothingFromAShortCustomer() {
        PolicyHarness b = new PolicyHarness().start().servers(8);
        for (int i = 0; i < 30; i++) {
            b.arrive(i, "read", "rate", "c");
        }
        b.answerCounter(OK);
        b.answerCounter(OK);
        b.module.onRequest(0, new IncomingRequest(40, "read", "rate", "c", 1300, 1, 2, 0, false));
        assertEquals(1, b.count("refuse 40"), "700 of its aim of 600 are over");
        b.module.onRequest(0, new IncomingRequest(41, "read", "rate", "c", 1700, 1, 2, 0, false));
        assertEquals(0, b.count("refuse 41"), "300 are left");
        b.to(200);
        assertEquals(1, b.count("refuse 41") + b.count("send 41"), "but not the whole aim");
        b.module.onRequest(200, new IncomingRequest(42, "read", "rate", "d", 1300, 1, 2, 0, false));
        b.answerCounter(OK);
        assertEquals(1, b.count("send 42"), "with a full store it takes nothing from others");
    }

    @Test
    void aStaleReminderArmsNoFurtherOne() {
        PolicyHarness b = new PolicyHarness().start().servers(4);
        for (int i = 0; i < 200; i++) {
            b.arrive(i, "read", "big", "c");
            b.end(i, 0, OK);
            b.to(i * 10);
        }
        b.to(20000);
        assertTrue(b.timers.size() <= 2, "timers out: " + b.timers.size());
    }

    @Test
    void sameEventsGiveTheSameActions() {
        PolicyHarness one = new PolicyHarness();
        PolicyHarness two = new PolicyHarness();
        rate(one, OK, 3);
        rate(two, OK, 3);
        assertEquals(one.log, two.log);
        assertTrue(one.log.size() > 100);
    }
}
