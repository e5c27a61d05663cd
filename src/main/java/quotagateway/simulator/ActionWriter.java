package quotagateway.simulator;

import java.math.BigDecimal;
import quotagateway.policy.api.PolicyActions;

/** Writes the actions of one policy as messages of the simulator's wire, until they are taken for a reply. */
final class ActionWriter implements PolicyActions {
    private final StringBuilder messages = new StringBuilder();

    /** The messages so far; whoever takes them clears them. */
    StringBuilder messages() {
        return messages;
    }

    void clear() {
        messages.setLength(0);
    }

    @Override
    public void sendAttempt(long requestId, String endpoint, double timeoutAt) {
        messages.append("PLACE\t").append(requestId).append('\t').append(endpoint);
        messages.append('\t').append(decimal(timeoutAt)).append('\n');
    }

    @Override
    public void cancelAttempt(long requestId, int attempt) {
        messages.append("DROP_ATTEMPT\t").append(requestId).append('\t').append(attempt);
        messages.append('\n');
    }

    @Override
    public void reject(long requestId, double retryAfterMs) {
        messages.append("PUSH_BACK\t").append(requestId).append('\t').append(decimal(retryAfterMs));
        messages.append('\n');
    }

    @Override
    public void fail(long requestId) {
        messages.append("GIVE_UP\t").append(requestId).append('\n');
    }

    @Override
    public void scheduleTimer(double delayMs, long token) {
        messages.append("WAKE_AT\t").append(decimal(delayMs)).append('\t').append(token);
        messages.append('\n');
    }

    @Override
    public void checkHealth(String endpoint) {
        messages.append("ASK_LOAD\t").append(endpoint).append('\n');
    }

    @Override
    public void addToCounter(long name, double amount, double ttlMs) {
        messages.append("ADD_TO\t").append(decimal(amount)).append('\t').append(decimal(ttlMs));
        messages.append('\t').append(name).append('\n');
    }

    @Override
    public void subscribeToEndpoints() {
        messages.append("WATCH\t1\n");
    }

    /** A number to three places, never in exponent form, as the wire asks for. */
    private static String decimal(double value) {
        return BigDecimal.valueOf(Math.rint(value * 1000) / 1000).toPlainString();
    }
}
