package quotagateway.upstream;

import io.netty.handler.codec.redis.RedisMessage;
import quotagateway.policy.api.CallOutcome;

/** What an endpoint has replied to an attempt or a health check, or what became of one without a reply. */
final class EndpointReply {
    private final CallOutcome outcome;
    private final RedisMessage value;
    private final double[] load;

    EndpointReply(CallOutcome outcome, RedisMessage value, double[] load) {
        this.outcome = outcome;
        this.value = value;
        this.load = load;
    }

    /** One without a value or a load report. */
    static EndpointReply of(CallOutcome outcome) {
        return new EndpointReply(outcome, null, EndpointPool.NO_LOAD);
    }

    CallOutcome outcome() {
        return outcome;
    }

    /** The response to a request that was served, valid until the message that it came in is released; else null. */
    RedisMessage value() {
        return value;
    }

    /** The load report that came with it, empty where none did. */
    double[] load() {
        return load;
    }
}
