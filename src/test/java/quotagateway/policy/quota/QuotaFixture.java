package quotagateway.policy.quota;

import java.util.Random;
import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.api.QuotaPlan;
import quotagateway.policy.statistics.LatencyObjectives;
import quotagateway.policy.testing.PolicyFixtures;
import quotagateway.policy.testing.RecordingActions;
import quotagateway.policy.timer.EventClock;
import quotagateway.policy.timer.ResplitSchedule;
import quotagateway.policy.timer.TimerQueue;
import quotagateway.policy.traffic.SendRateLimiter;
import quotagateway.policy.traffic.TrafficMeter;

/** Sets up the context of a quota for tests, with the waiting requests given as plain numbers. */
final class QuotaFixture {
    /** Waiting requests that all have the same units and latest start. */
    static final class Demand implements QuotaDemand {
        int requests;
        int units = 1;
        double latestStart = 400;
        int inFlight;

        @Override
        public boolean isEmpty() {
            return requests == 0;
        }

        @Override
        public double queuedUnits() {
            return requests * units;
        }

        @Override
        public int firstUnits() {
            return units;
        }

        @Override
        public double maxLatestStart() {
            return latestStart;
        }

        @Override
        public int attemptsInFlight() {
            return inFlight;
        }
    }

    record Request(int units, double arrivedAt, double latestStart, boolean isClientRetry) implements QuotaRequest {}

    final EventClock clock = new EventClock(0);
    final RecordingActions actions = new RecordingActions();
    final Demand demand = new Demand();
    final TrafficMeter traffic = new TrafficMeter();
    final CounterCalls calls;
    final QuotaContext context;

    QuotaFixture(int gateways) {
        PolicySettings settings = PolicyFixtures.settings(gateways);
        TimerQueue timers = new TimerQueue(clock, actions);
        LatencyObjectives objectives = LatencyObjectives.of(settings.requestClasses());
        SendRateLimiter limiter = new SendRateLimiter(settings, objectives, clock, timers, traffic);
        calls = new CounterCalls(actions, clock, new CounterCallWindow(settings, clock, timers, new Random(1)));
        context = new QuotaContext(
                settings,
                objectives,
                clock,
                timers,
                new ResplitSchedule(settings),
                limiter,
                traffic,
                calls,
                QuotaContext.newAverageGrantRatio());
    }

    CustomerQuota quota(QuotaPlan plan, int gateways) {
        return new CustomerQuota("c " + plan.name(), plan, gateways, 0, context, demand);
    }

    /** Returns a request of one unit that arrives now. */
    Request request() {
        return new Request(1, clock.now(), clock.now() + 400, false);
    }
}
