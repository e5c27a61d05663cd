package quotagateway.policy.timer;

/**
 * The time of the event that is being handled, in milliseconds of the host's clock. The policy has no other clock: the
 * time is constant during an event and never decreases.
 */
public final class EventClock {
    private double now;

    public EventClock(double now) {
        this.now = now;
    }

    public double now() {
        return now;
    }

    /** Called once at the start of every event, by the policy alone. A time in the past has no effect. */
    public void advanceTo(double time) {
        now = Math.max(now, time);
    }
}
