package quotagateway.client;

import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import java.util.ArrayList;
import java.util.List;
import quotagateway.lifecycle.CloseReason;
import quotagateway.log.NodeEvent;
import quotagateway.streaming.RequestBody;
import quotagateway.transport.ManualEventLoop;

/** In-memory client connections, with a request handler that leaves the responses to the test. */
final class ClientConnectionFixture implements ClientRequestHandler {
    static final double OUTPUT_BLOCKED_TIMEOUT_MS = 15_000;
    static final String REQUEST = "*4\r\n$8\r\nCALL.GET\r\n$1\r\nc\r\n$1\r\ni\r\n$1\r\na\r\n";

    /** A request that fails when the input of its connection is malformed. */
    final class Request implements ClientRequest {
        final ResponseSlot slot;
        final RequestBody body;
        boolean clientDisconnected;

        Request(ResponseSlot slot, RequestBody body) {
            this.slot = slot;
            this.body = body;
        }

        @Override
        public void onClientDisconnected() {
            clientDisconnected = true;
        }

        @Override
        public void onConnectionMalformed() {
            fail("failed");
        }

        void fail(String errorText) {
            slot.detachRequest();
            slot.respond(new ErrorRedisMessage("ERR " + errorText));
            loop.flush();
        }
    }

    final ManualEventLoop loop = new ManualEventLoop();
    final ConnectionTable table;
    final List<Request> requests = new ArrayList<>();
    final List<CloseReason> closed = new ArrayList<>();
    /** Error text with which the handler rejects commands; null if it accepts them. */
    String errorText;

    boolean memoryExhausted;
    int refusedCount;
    /** Whether a value of a request that arrives in several reads may be held. */
    boolean hasRoomForRequests = true;

    private final ListenerContext context;
    private long connectionCount;

    ClientConnectionFixture(int limit) {
        table = new ConnectionTable(loop, limit, OUTPUT_BLOCKED_TIMEOUT_MS);
        context = new ListenerContext(loop, this, table, new ReadAheadBudget(loop), () -> {});
    }

    /** Opens a client connection. */
    EmbeddedDuplexChannel connect() {
        EmbeddedDuplexChannel channel = new EmbeddedDuplexChannel();
        ClientConnection connection = new ClientConnection(channel, ++connectionCount, context, 0);
        connection.addHandlers();
        table.add(connection);
        return channel;
    }

    @Override
    public String acceptCommand(ResponseSlot slot, ArrayRedisMessage command, RequestBody body, double receivedAtMs) {
        if (errorText == null) {
            Request request = new Request(slot, body);
            slot.attachRequest(request);
            requests.add(request);
        }
        return errorText;
    }

    @Override
    public void onRequestRefused() {
        refusedCount++;
    }

    @Override
    public boolean isMemoryExhausted() {
        return memoryExhausted;
    }

    @Override
    public boolean hasRoomForRequest(int bytes) {
        return hasRoomForRequests;
    }

    @Override
    public boolean mayListen() {
        return true;
    }

    @Override
    public boolean mayClose(CloseReason reason, int openRequests) {
        return openRequests == 0 || reason == CloseReason.VALUE_BROKEN_OFF;
    }

    @Override
    public void onClientConnectionClosed(NodeEvent.ClientConnectionClosed event) {
        closed.add(event.reason());
    }
}
