package quotagateway.policy.retry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import quotagateway.policy.api.RequestClass;
import quotagateway.policy.endpoint.Attempt;
import quotagateway.policy.endpoint.Endpoint;

/** The attempts of one request, in the order in which they were sent. */
public final class AttemptHistory {
    private final RequestClass requestClass;
    private final List<Attempt> attempts = new ArrayList<>();

    public AttemptHistory(RequestClass requestClass) {
        this.requestClass = requestClass;
    }

    public RequestClass requestClass() {
        return requestClass;
    }

    public void add(Attempt attempt) {
        attempts.add(attempt);
    }

    public int size() {
        return attempts.size();
    }

    public boolean isEmpty() {
        return attempts.isEmpty();
    }

    /** Returns the attempt with this number, counted from 0. */
    public Attempt get(int number) {
        return attempts.get(number);
    }

    /** Whether there is an attempt with this number that has not ended. */
    public boolean isInFlight(int number) {
        return number >= 0 && number < attempts.size() && attempts.get(number).isInFlight();
    }

    /** Returns the attempt that was sent last. */
    public Attempt last() {
        return attempts.get(attempts.size() - 1);
    }

    public boolean wasSentTo(Endpoint endpoint) {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).endpoint() == endpoint) {
                return true;
            }
        }
        return false;
    }

    /** Returns the first attempt that its endpoint may have executed. */
    public Optional<Attempt> firstThatMayHaveRun() {
        return attempts.stream().filter(Attempt::mayHaveRun).findFirst();
    }

    /** Returns the earliest time (ms) at which the request may have been executed; empty if it cannot have been. */
    OptionalDouble firstPossibleExecutionAt() {
        return attempts.stream()
                .filter(Attempt::mayHaveRun)
                .mapToDouble(Attempt::sentAt)
                .min();
    }

    boolean mayHaveRun() {
        return firstThatMayHaveRun().isPresent();
    }

    List<Attempt> attempts() {
        return attempts;
    }
}
