package quotagateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import java.io.IOException;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import quotagateway.config.GatewayConfig;
import quotagateway.config.Json;
import quotagateway.lifecycle.CloseReason;
import quotagateway.policy.api.CallOutcome;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;
import quotagateway.resp.RespCodec;
import quotagateway.streaming.RequestBody;
import quotagateway.streaming.ResponseSource;
import quotagateway.streaming.StreamedResponse;
import quotagateway.transport.ManualEventLoop;

/** A pool whose endpoints' connections are in memory, and come up when the test says so. */
final class EndpointSide implements EndpointConnector, EndpointPoolListener {
    static final double KEEP_ALIVE_MS = 10_000;

    /** A connection to an endpoint, as the endpoint has it. */
    static final class Peer {
        final long address;
        final EmbeddedChannel channel = new EmbeddedChannel();
        private final ChannelPromise connected = channel.newPromise();

        Peer(long address) {
            this.address = address;
        }

        Peer accept() {
            connected.setSuccess();
            return this;
        }

        void refuse() {
            connected.setFailure(new ConnectException("refused"));
        }

        void reply(String text) {
            channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        }

        /** What has come to the endpoint since the last call. */
        String received() {
            channel.flush();
            StringBuilder text = new StringBuilder();
            for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
                text.append(part.toString(StandardCharsets.UTF_8));
                part.release();
            }
            return text.toString();
        }

        boolean isOpen() {
            channel.runPendingTasks();
            return channel.isOpen();
        }
    }

    /** Whether another attempt may follow one that an endpoint may have executed. */
    boolean mayRepeat = true;

    /** A request whose command is {@code GET} and its name. */
    final class Request implements UpstreamRequest {
        final String name;
        boolean denied;
        StreamedResponse stream;

        Request(String name) {
            this.name = name;
        }

        @Override
        public ArrayRedisMessage encode(ByteBufAllocator allocator) {
            return RespCodec.command(allocator, "GET", name);
        }

        @Override
        public RequestBody body() {
            return null;
        }

        @Override
        public boolean denies(Attempt attempt) {
            return denied;
        }

        @Override
        public boolean mayRepeat(Attempt attempt) {
            return mayRepeat;
        }

        @Override
        public void onAttemptWritten() {
            events.add(name + " written");
        }

        @Override
        public void onAttemptEnded(Attempt attempt, CallOutcome outcome, RedisMessage value, double[] load) {
            events.add(name + " " + outcome + (value == null ? "" : " " + RespCodec.text(value))
                    + (load.length == 0 ? "" : " " + Arrays.toString(load)));
        }

        @Override
        public StreamedResponse onStreamStarted(Attempt attempt, int length, ResponseSource source) {
            events.add(name + " stream " + length);
            return stream;
        }
    }

    final ManualEventLoop loop = new ManualEventLoop();
    final EndpointPool pool;
    final List<Peer> peers = new ArrayList<>();
    /** What requests and listener were told since the last look. */
    final List<String> events = new ArrayList<>();

    /** Whether a response that arrives in several reads may be held. */
    boolean hasRoomForResponses = true;

    EndpointSide(int maxConnections) {
        pool = new EndpointPool(loop, this, this, config(), maxConnections, bytes -> hasRoomForResponses);
    }

    private static GatewayConfig config() {
        String json = """
            {"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","name":"n",
             "settings":{"rank":0,"group_size":1,"feedback":{"fields":["utilization","outstanding"]},
              "limits":{"keepalive":%d},
              "request_classes":[{"name":"read","effect":"read_like","aim":600,"hard_limit":2000}],
              "tariffs":[{"name":"p","per_second":8,"depth":8}]}}""".formatted((int) KEEP_ALIVE_MS);
        try {
            return GatewayConfig.of(Json.read(json), Map.of());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static EndpointDescriptor descriptor(String id, long address, EndpointState state) {
        return new EndpointDescriptor(id, 0, "z", state, "", 0, 1, address);
    }

    /** Takes an endpoint into use; its first connection comes up. */
    Peer connected(String id, long address) {
        pool.retain(descriptor(id, address, EndpointState.UP));
        return last().accept();
    }

    /** The endpoint's side of the connection that was begun last. */
    Peer last() {
        return peers.get(peers.size() - 1);
    }

    /** Sends a request's attempt to an endpoint. */
    Attempt send(String name, String endpoint) {
        return send(new Request(name), endpoint);
    }

    Attempt send(Request request, String endpoint) {
        Attempt attempt = new Attempt(request, 0, endpoint, loop.now(), null);
        pool.send(attempt);
        loop.flush();
        return attempt;
    }

    /** What was told since the last call. */
    List<String> takeEvents() {
        List<String> taken = new ArrayList<>(events);
        events.clear();
        return taken;
    }

    @Override
    public ChannelFuture connect(long address, EndpointConnection connection) {
        Peer peer = new Peer(address);
        peers.add(peer);
        connection.addTo(peer.channel);
        return peer.connected;
    }

    @Override
    public void onHealthCheck(String endpoint, CallOutcome outcome, double tookMs, double[] load) {
        events.add("check " + endpoint + " " + outcome + " " + tookMs + " " + Arrays.toString(load));
    }

    @Override
    public void onEndpointConnectionClosed(String endpoint, CloseReason reason) {
        events.add("closed " + endpoint + " " + reason);
    }
}
