package quotagateway.node;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;
import quotagateway.client.ClientCommand;
import quotagateway.client.ClientRequest;
import quotagateway.client.ResponseSlot;
import quotagateway.policy.api.CallOutcome;
import quotagateway.streaming.RequestBody;
import quotagateway.streaming.ResponseSource;
import quotagateway.streaming.StreamedResponse;
import quotagateway.upstream.Attempt;
import quotagateway.upstream.UpstreamRequest;

/**
 * A request of a client, from its last byte to the end of its last attempt. It is first completed, when its client
 * needs nothing of it any more, and then released, when none of its attempts is in flight either; {@link
 * RequestTable} does both. This class holds the state, and passes on what connections tell it.
 */
final class ActiveRequest implements ClientRequest, UpstreamRequest {
    private static final double NOT_COMPLETED = Double.MAX_VALUE;

    private final RequestTable requests;
    private final AttemptHandler attemptHandler;
    private final long id;
    private final ResponseSlot slot;
    private final ArrayRedisMessage message;
    private final ClientCommand command;
    private final RequestBody body;
    private final ResponseDeadline deadline;
    private final int bufferedBytes;
    private final List<Attempt> attempts = new ArrayList<>(1);
    private int attemptsInFlight;
    private double completedAtMs = NOT_COMPLETED;

    /**
     * Keeps the message until {@link #release}.
     *
     * @param id the node's number for it, by which the policy names it
     * @param message the command as it was read
     * @param command the same command, parsed
     * @param body the large value that comes with it and is passed through, or null
     */
    ActiveRequest(
            RequestTable requests,
            AttemptHandler attemptHandler,
            long id,
            ResponseSlot slot,
            ArrayRedisMessage message,
            ClientCommand command,
            RequestBody body,
            ResponseDeadline deadline) {
        this.requests = requests;
        this.attemptHandler = attemptHandler;
        this.id = id;
        this.slot = slot;
        this.message = ReferenceCountUtil.retain(message);
        this.command = command;
        this.body = body;
        this.deadline = deadline;
        bufferedBytes = bytesOf(message) + (body == null ? 0 : RequestBody.MAX_BUFFERED_BYTES);
    }

    private static int bytesOf(ArrayRedisMessage message) {
        int bytes = 0;
        for (RedisMessage argument : message.children()) {
            bytes += ((FullBulkStringRedisMessage) argument).content().readableBytes();
        }
        return bytes;
    }

    long id() {
        return id;
    }

    /** The id that the client gave it. */
    String clientId() {
        return command.id();
    }

    ClientCommand command() {
        return command;
    }

    ResponseSlot slot() {
        return slot;
    }

    ResponseDeadline deadline() {
        return deadline;
    }

    /** What its values take at the most (bytes), from its start to its release. */
    int bufferedBytes() {
        return bufferedBytes;
    }

    // ---- its client ----

    /** Whether it has had its response, or its client has disconnected. */
    boolean isCompleted() {
        return completedAtMs != NOT_COMPLETED;
    }

    /** How long (ms) it has been completed, 0 where it is not. */
    double completedForMs(double now) {
        return isCompleted() ? now - completedAtMs : 0;
    }

    /** Whether the client's connection has ended, also where that has not been reported yet. */
    boolean isClientDisconnected() {
        return slot.isDisconnected();
    }

    /** From here on the connection reports to this request what happens to it. */
    void attachToSlot() {
        slot.attachRequest(this);
    }

    /**
     * Completes it: from here on what happens to its connection does not concern it, and what has not been sent of its
     * body never is. Its deadline stays only where attempts are in flight, to time them out. Called once, by {@link
     * RequestTable}.
     */
    void complete(double now) {
        completedAtMs = now;
        if (body != null) {
            boolean partlyReceived = !body.isComplete();
            body.discard();
            if (partlyReceived) {
                attemptHandler.cancelAllSoon(this); // what an endpoint has of it cannot become a command
            }
        }
        slot.detachRequest();
        if (attemptsInFlight == 0) {
            deadline.cancel();
        }
    }

    /** Whether it is completed and none of its attempts is in flight: nothing will happen to it any more. */
    boolean isSettled() {
        return isCompleted() && attemptsInFlight == 0;
    }

    /** Gives back what it holds. Called once, by {@link RequestTable}, when it is settled. */
    void release() {
        deadline.cancel();
        ReferenceCountUtil.release(message);
    }

    @Override
    public void onClientDisconnected() {
        requests.onClientDisconnected(this);
    }

    @Override
    public void onConnectionMalformed() {
        requests.onConnectionMalformed(this);
    }

    // ---- its attempts ----

    /** All attempts so far, in their order. */
    List<Attempt> attempts() {
        return attempts;
    }

    void onAttemptStarted(Attempt attempt) {
        attempts.add(attempt);
        attemptsInFlight++;
    }

    void onAttemptFinished() {
        attemptsInFlight--;
    }

    /** Whether its body has gone out with an attempt, or been dropped: no other attempt can send it. */
    boolean isBodyConsumed() {
        return body != null && body.isConsumed();
    }

    /** Drops what still comes of a body whose attempt has failed: there is nobody to send it to. */
    void discardConsumedBody() {
        if (isBodyConsumed()) {
            body.discard();
        }
    }

    @Override
    public ArrayRedisMessage encode(ByteBufAllocator allocator) {
        return command.encodeForEndpoint(message, deadline.remainingMs(), allocator);
    }

    @Override
    public RequestBody body() {
        return body;
    }

    @Override
    public boolean denies(Attempt attempt) {
        return attemptHandler.denies(this, attempt);
    }

    @Override
    public void onAttemptWritten() {
        attemptHandler.onWritten(this);
    }

    @Override
    public void onAttemptEnded(Attempt attempt, CallOutcome outcome, RedisMessage value, double[] load) {
        attemptHandler.onEnded(this, attempt, outcome, value, load);
    }

    @Override
    public StreamedResponse onStreamStarted(Attempt attempt, int length, ResponseSource source) {
        return attemptHandler.onStreamStarted(this, attempt, length, source);
    }
}
