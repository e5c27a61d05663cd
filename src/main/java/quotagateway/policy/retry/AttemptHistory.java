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

    /** The attempt of this number, from 0. */
    public Attempt get(int number) {
        return attempts.get(number);
    }

    /** Whether there is an attempt of this number that has not ended. */
    public boolean isInFlight(int number) {
        return number >= 0 && number < attempts.size() && attempts.get(number).isInFlight();
    }

    /** The attempt that was sent last. */
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

    /** The first attempt that its endpoint may have executed. */
    public Optional<Attempt> firstThatMayHaveRun() {
        return attempts.stream().filter(Attempt::mayHaveRun).findFirst();
    }

    /** When the request may have been executed first. */
    OptionalDouble firstPossibleRunAt() {
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
