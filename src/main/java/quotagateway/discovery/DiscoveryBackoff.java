package quotagateway.discovery;

import java.util.SplittableRandom;
import quotagateway.transport.ExponentialBackoff;

/**
 * How long the next call to discovery is put off, and how long it may then take to answer. Both grow while calls fail
 * and are short again after one that worked, or when the address has changed.
 */
final class DiscoveryBackoff {
    /** The agent is on this machine and calls to it are cheap: behind a call that worked the next is made at once. */
    static final double INITIAL_DELAY_MS = 10;
    /** A news counts as known from when the agent has it: put off for longer, a drain would be heard of too late. */
    static final double MAX_DELAY_MS = 80;
    /**
     * The agent answers each call at once, a watch too, if only with an empty change. A call without one whole object
     * for so long (ms) is made anew, and the next may take twice that: where discovery has a queue of callers, each
     * that comes anew makes it longer. It is short as a process that starts counts as informed from its first moment;
     * one whose first call was silent went by an old list for 5 s.
     */
    static final double INITIAL_ANSWER_TIMEOUT_MS = 500;
    /** Two calls of this length (ms) in a row, a lost one and a silent one, stay under the 6 s for news. */
    static final double MAX_ANSWER_TIMEOUT_MS = 2500;

    /**
     * Where lists have to be asked for, one discovery of fixed capacity answers the calls of all gateways in turn, and
     * turns away those that are too many: the delays behind that grow up to this (ms). With MAX_DELAY_MS all gateways
     * whose watches had ended together kept it full, each call by itself, and none heard of a change. A call that was
     * turned away and a silent one behind it stay under the 6 s for news.
     */
    static final double MAX_OVERLOAD_DELAY_MS = 1500;

    private static final double INITIAL_OVERLOAD_DELAY_MS = 100;

    private final SplittableRandom random;
    private final ExponentialBackoff delay = new ExponentialBackoff(INITIAL_DELAY_MS, MAX_DELAY_MS);
    private final ExponentialBackoff overloadDelay =
            new ExponentialBackoff(INITIAL_OVERLOAD_DELAY_MS, MAX_OVERLOAD_DELAY_MS);
    private final ExponentialBackoff answerTimeout =
            new ExponentialBackoff(INITIAL_ANSWER_TIMEOUT_MS, MAX_ANSWER_TIMEOUT_MS);

    DiscoveryBackoff(SplittableRandom random) {
        this.random = random;
    }

    /** A call has worked, or the address is new. */
    void reset() {
        delay.reset();
        overloadDelay.reset();
        answerTimeout.reset();
    }

    /** The time (ms) until the next call is made. */
    double nextDelayMs() {
        return delay.nextJitteredMs(random);
    }

    /** The time (ms) until the next call is made, where discovery has turned the last one away as it is overloaded. */
    double nextOverloadDelayMs() {
        return overloadDelay.nextJitteredMs(random);
    }

    /** The time (ms) that the call that is made now may take to answer. */
    double nextAnswerTimeoutMs() {
        return answerTimeout.nextMs();
    }
}
