package quotagateway.node;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.redis.ArrayRedisMessage;
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
 * A client's request, from its acceptance to the end of its last attempt. It is completed first, when its client needs
 * nothing more from it, and released once none of its attempts is in flight either; {@link RequestTable} does both.
 * This class holds the request's state and forwards the events of its connections.
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
    private final List<Attempt> attempts = new ArrayList<>(1);
    private int attemptsInFlight;
    private double completedAtMs = NOT_COMPLETED;

    /**
     * Keeps the message until {@link #release}.
     *
     * @param id the number by which the node and the policy identify the request
     * @param message the command as it was read
     * @param command the same command, parsed
     * @param body the large value that is streamed behind the command, or null
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
    }

    long id() {
        return id;
    }

    /** The id that the client gave the request. */
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

    // ---- client ----

    /** Whether the request has its response, or its client has disconnected. */
    boolean isCompleted() {
        return completedAtMs != NOT_COMPLETED;
    }

    /** Returns the time (ms) since the request was completed, 0 if it is not. */
    double msSinceCompletion(double now) {
        return isCompleted() ? now - completedAtMs : 0;
    }

    /** Whether the client's connection has ended, even if that has not been reported yet. */
    boolean isClientDisconnected() {
        return slot.isDisconnected();
    }

    /** Registers the request for the events of its client's connection. */
    void attachToSlot() {
        slot.attachRequest(this);
    }

    /**
     * Marks the request as completed, as its client needs nothing more from it: events of the client's connection no
     * longer reach the request, and the part of the request body that has not been sent is never sent. The deadline
     * stays only while attempts are in flight, to time them out. {@link RequestTable} calls this method, and only once
     * for each request.
     */
    void complete(double now) {
        completedAtMs = now;
        if (body != null) {
            boolean partlyReceived = !body.isComplete();
            body.discard();
            if (partlyReceived) {
                attemptHandler.cancelAllAfterEvent(this); // the endpoint can never receive the complete command
            }
        }
        slot.detachRequest();
        if (attemptsInFlight == 0) {
            deadline.cancel();
        }
    }

    /** Whether the request is completed and none of its attempts is in flight, so that no more events follow. */
    boolean isFinished() {
        return isCompleted() && attemptsInFlight == 0;
    }

    /** Releases the resources of the request. Called once, by {@link RequestTable}, when the request is finished. */
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

    // ---- attempts ----

    /** All attempts so far, in the order in which they were started. */
    List<Attempt> attempts() {
        return attempts;
    }

    void onAttemptStarted(Attempt attempt) {
        attempts.add(attempt);
        attemptsInFlight++;
    }

    /** Whether an endpoint may have executed the request. Called once all attempts have ended. */
    boolean mayHaveBeenExecuted() {
        return attempts.stream().anyMatch(attempt -> attempt.outcome() != null && !attempt.outcome().provesNotExecuted);
    }

    void onAttemptFinished() {
        attemptsInFlight--;
    }

    /** Returns the time (ms) that an endpoint has had for an attempt, which begins once the body has arrived. */
    double msAtEndpoint(Attempt attempt, double now) {
        boolean bodyArrived = body != null && body.isComplete();
        return now - (bodyArrived ? Math.max(attempt.sentAt(), body.lastByteAtMs()) : attempt.sentAt());
    }

    /** Whether an attempt has begun to send the body, or the body was discarded; no other attempt can send it then. */
    boolean isBodyConsumed() {
        return body != null && body.isConsumed();
    }

    /** Discards the rest of a body whose attempt has failed, as no other attempt can send it. */
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
    public boolean mayRepeat(Attempt attempt) {
        return attemptHandler.mayRepeat(this, attempt);
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
