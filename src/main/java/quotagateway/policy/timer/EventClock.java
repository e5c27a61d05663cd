package quotagateway.policy.timer;

/**
 * The time of the event that is being handled, in milliseconds of the host's clock. The policy has no other clock:
 * time stands still during an event, and never runs backwards.
 */
public final class EventClock {
    private double now;

    public EventClock(double now) {
        this.now = now;
    }

    public double now() {
        return now;
    }

    /** Called once at the begin of every event, by the policy alone. An event from the past changes nothing. */
    public void advanceTo(double time) {
        now = Math.max(now, time);
    }
}
