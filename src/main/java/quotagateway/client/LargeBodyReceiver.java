package quotagateway.client;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.util.ReferenceCountUtil;
import quotagateway.resp.LargeValueHandler;
import quotagateway.streaming.ArrivalTimes;
import quotagateway.streaming.RequestBody;

/**
 * Receives the large body of a command on one connection. The command arrives before its body, and is kept here until
 * {@link RequestBody#MAX_BUFFERED_BYTES} or the complete body is buffered, or there is no memory for more of it. The
 * command is then submitted, so that an endpoint can be chosen, to which the rest of the body is forwarded as it
 * arrives. A body whose command was answered without it is read and dropped.
 */
final class LargeBodyReceiver implements LargeValueHandler {
    private final ClientConnection connection;
    private final ClientRequestHandler requestHandler;
    private final CommandTimer timer;
    private final ArrivalTimes arrivalTimes;
    /** The body that is being received; null between bodies. */
    private RequestBody body;
    /** Whether the body belongs to a request command. */
    private boolean commandAttached;
    /** The command that waits for its body, or null. */
    private ArrayRedisMessage pendingCommand;

    private ResponseSlot pendingSlot;

    LargeBodyReceiver(
            ClientConnection connection,
            ClientRequestHandler requestHandler,
            CommandTimer timer,
            ArrivalTimes arrivalTimes) {
        this.connection = connection;
        this.requestHandler = requestHandler;
        this.timer = timer;
        this.arrivalTimes = arrivalTimes;
    }

    @Override
    public int argumentIndex() {
        return ClientCommand.BODY_INDEX;
    }

    @Override
    public boolean onValueStarted(int length) {
        if (!connection.isReading()) {
            return false;
        }
        body = new RequestBody(length, arrivalTimes, connection::updateReading);
        commandAttached = false;
        return true;
    }

    @Override
    public void onValueContent(ByteBuf part, boolean last) {
        RequestBody currentBody = body;
        if (last) {
            body = null;
            timer.stop();
        } else {
            timer.restart();
        }
        boolean hasRoom = currentBody.isConsumed() || requestHandler.hasRoomForRequest(part.readableBytes());
        if (!connection.isReading() || !commandAttached || !hasRoom) {
            currentBody.discard();
        }
        currentBody.append(part, last);
        if (pendingCommand != null && (currentBody.isReadyToForward() || currentBody.isConsumed())) {
            submitCommand(currentBody);
        }
    }

    private void submitCommand(RequestBody currentBody) {
        ArrayRedisMessage command = pendingCommand;
        pendingCommand = null;
        connection.submit(pendingSlot, command, currentBody);
        ReferenceCountUtil.release(command);
    }

    /** Returns whether a body is being received. */
    boolean isReceiving() {
        return body != null;
    }

    /** Returns whether more of the body should be read now; called only while a body is being received. */
    boolean wantsMore() {
        return body.wantsMore();
    }

    /** Attaches the command of the body that is being received; it is submitted once enough is buffered. */
    void attachCommand(ResponseSlot slot, ArrayRedisMessage command) {
        commandAttached = true;
        pendingSlot = slot;
        pendingCommand = ReferenceCountUtil.retain(command);
    }

    /** Returns the slot of the command that waits for its body, or null. */
    ResponseSlot pendingSlot() {
        return pendingCommand == null ? null : pendingSlot;
    }

    /** Drops the command that waits for its body, and the rest of the body as it arrives. */
    void discard() {
        ReferenceCountUtil.release(pendingCommand);
        pendingCommand = null;
        if (body != null) {
            body.discard();
        }
    }
}
