package quotagateway.upstream;

import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import java.util.List;
import quotagateway.policy.api.CallOutcome;
import quotagateway.resp.DiscardedValue;
import quotagateway.resp.RespCodec;
import quotagateway.transport.EventLoopContext;

/** Parses what endpoints reply. */
final class EndpointReplyParser {
    /** A response consists of the value, the figures on its use and the load report. */
    private static final int RESPONSE_PARTS = 3;

    private static final int VALUE_INDEX = 0;
    private static final int LOAD_INDEX = 2;

    private final EventLoopContext loop;
    private final LoadReportParser loadReports;

    EndpointReplyParser(EventLoopContext loop, LoadReportParser loadReports) {
        this.loop = loop;
        this.loadReports = loadReports;
    }

    /** Parses the reply to a request's attempt; null where it is in none of the protocol's forms. */
    EndpointReply parseResponse(RedisMessage message) {
        if (message instanceof ErrorRedisMessage error) {
            return parseError(error.content());
        }
        if (message instanceof ArrayRedisMessage array
                && !array.isNull()
                && array.children().size() == RESPONSE_PARTS
                && RespCodec.isNonNullBulkString(array.children().get(VALUE_INDEX))) {
            List<RedisMessage> parts = array.children();
            if (parts.get(VALUE_INDEX) instanceof DiscardedValue) {
                loop.logFailure("endpoint", new IllegalStateException("no memory for the value of a response"));
                return EndpointReply.of(CallOutcome.ERROR);
            }
            double[] load = loadReports.parse(RespCodec.text(parts.get(LOAD_INDEX)));
            return new EndpointReply(CallOutcome.OK, parts.get(VALUE_INDEX), load);
        }
        return null;
    }

    /** Parses the reply to a health check; null where it is in none of the protocol's forms. */
    EndpointReply parseHealthCheck(RedisMessage message) {
        if (message instanceof ErrorRedisMessage error) {
            return parseError(error.content());
        }
        return RespCodec.isNonNullBulkString(message)
                ? new EndpointReply(CallOutcome.OK, null, loadReports.parse(RespCodec.text(message)))
                : null;
    }

    /** {@code BUSY} or {@code ERR}, with a load report as the last word or without. */
    private EndpointReply parseError(String text) {
        boolean busy = text.equals("BUSY") || text.startsWith("BUSY ");
        if (!busy && !text.startsWith("ERR ")) {
            loop.logFailure("endpoint", new IllegalStateException(text));
            return null;
        }
        int lastSpace = text.lastIndexOf(' ');
        boolean hasReport = text.indexOf('=', lastSpace) > 0;
        return new EndpointReply(
                busy ? CallOutcome.FULL : CallOutcome.ERROR,
                null,
                hasReport ? loadReports.parse(text.substring(lastSpace + 1)) : EndpointPool.NO_LOAD);
    }
}
