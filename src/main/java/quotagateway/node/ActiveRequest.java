package quotagateway.node;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import quotagateway.client.ClientCommand;
import quotagateway.client.ClientRequest;
import quotagateway.client.ResponseSlot;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.FailureReason;
import quotagateway.streaming.RequestBody;
import quotagateway.streaming.ResponseSource;
import quotagateway.streaming.StreamedResponse;
import quotagateway.upstream.Attempt;
import quotagateway.upstream.UpstreamRequest;

/** A request of a client, from its last byte to the end of its last attempt. */
final class ActiveRequest implements ClientRequest, UpstreamRequest {
    private final GatewayNode node;
    final long id;
    final ResponseSlot slot;
    final ArrayRedisMessage command;
    final ClientCommand parsed;
    /** By then (ms) its client stops waiting. */
    final double clientDeadline;
    /** By then (ms) its client has to have the answer: its own time, or the end of the node's. */
    double deadline;
    /** A large value that passes through, or null. */
    final RequestBody body;

    final int bytes;
    final List<Attempt> attempts = new ArrayList<>(1);
    boolean completed;
    /** When (ms) it was over. */
    double completedAt;

    int inFlight;
    Future<?> timer;

    ActiveRequest(
            GatewayNode node,
            long id,
            ResponseSlot slot,
            ArrayRedisMessage command,
            ClientCommand call,
            RequestBody body,
            double deadline,
            double clientEnds) {
        this.node = node;
        this.id = id;
        this.clientDeadline = clientEnds;
        this.body = body;
        this.slot = slot;
        this.command = command;
        this.parsed = call;
        this.deadline = deadline;
        int sum = body == null ? 0 : RequestBody.MAX_BUFFERED_BYTES;
        for (RedisMessage part : command.children()) {
            sum += ((FullBulkStringRedisMessage) part).content().readableBytes();
        }
        bytes = sum;
    }

    @Override
    public ArrayRedisMessage encode(ByteBufAllocator allocator) {
        return parsed.encodeForEndpoint(command, deadline - node.now(), allocator);
    }

    @Override
    public RequestBody body() {
        return body;
    }

    @Override
    public boolean denies(Attempt attempt) {
        return node.denies(this, attempt);
    }

    @Override
    public void onAttemptWritten() {
        node.onAttemptWritten(this);
    }

    @Override
    public void onAttemptEnded(Attempt attempt, CallOutcome outcome, RedisMessage value, double[] load) {
        node.onAttemptEnded(this, attempt, outcome, value, load);
    }

    @Override
    public StreamedResponse onStreamStarted(Attempt attempt, int length, ResponseSource source) {
        return node.onStreamStarted(this, attempt, length, source);
    }

    @Override
    public void onClientDisconnected() {
        node.onClientDisconnected(this);
    }

    @Override
    public void onConnectionMalformed() {
        node.failUnlessCompleted(this, FailureReason.CONNECTION_MALFORMED);
    }
}
