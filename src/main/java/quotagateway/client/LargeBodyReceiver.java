package quotagateway.client;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.util.ReferenceCountUtil;
import quotagateway.resp.LargeValueHandler;
import quotagateway.streaming.RequestBody;
import quotagateway.transport.EventLoopContext;

/**
 * Receives the large body of a command on one connection. The command itself comes first, and waits here until enough
 * of its body is buffered to look for an endpoint. A body of no request, as its command was answered without it, is
 * read and dropped.
 */
final class LargeBodyReceiver implements LargeValueHandler {
    private final ClientConnection connection;
    private final EventLoopContext loop;
    private final ClientRequestHandler requests;
    private final CommandTimer timer;
    /** The body that is being received; null between bodies. */
    private RequestBody body;
    /** Whether the body belongs to a request command. */
    private boolean claimed;
    /** The command that waits for its body; null where none does. */
    private ArrayRedisMessage waitingCommand;

    private ResponseSlot waitingSlot;

    LargeBodyReceiver(
            ClientConnection connection, EventLoopContext loop, ClientRequestHandler requests, CommandTimer timer) {
        this.connection = connection;
        this.loop = loop;
        this.requests = requests;
        this.timer = timer;
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
        body = new RequestBody(length, loop.now(), connection::updateReading);
        claimed = false;
        return true;
    }

    @Override
    public void onValueContent(ByteBuf part, boolean last) {
        RequestBody receiving = body;
        if (last) {
            body = null;
            timer.stop();
        } else {
            timer.restart();
        }
        if (!connection.isReading() || !claimed) {
            receiving.discard();
        }
        receiving.append(part);
        if (waitingCommand != null && (receiving.isReadyToForward() || requests.isMemoryExhausted())) {
            submitCommand(receiving);
        }
    }

    private void submitCommand(RequestBody receiving) {
        ArrayRedisMessage command = waitingCommand;
        waitingCommand = null;
        connection.submit(waitingSlot, command, receiving);
        ReferenceCountUtil.release(command);
    }

    /** Whether a body has begun to come and not ended. */
    boolean isReceiving() {
        return body != null;
    }

    /** Whether more of the body should be read now; only while one is being received. */
    boolean wantsMore() {
        return body.wantsMore();
    }

    /** Has a command wait for the body that is being received. */
    void claim(ResponseSlot slot, ArrayRedisMessage command) {
        claimed = true;
        waitingSlot = slot;
        waitingCommand = ReferenceCountUtil.retain(command);
    }

    /** The slot of the command that waits for its body, or null. */
    ResponseSlot waitingSlot() {
        return waitingCommand == null ? null : waitingSlot;
    }

    /** Drops the command that waits, and what still comes of the body. */
    void discard() {
        ReferenceCountUtil.release(waitingCommand);
        waitingCommand = null;
        if (body != null) {
            body.discard();
        }
    }
}
