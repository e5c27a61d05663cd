package quotagateway.scale;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntFunction;
import quotagateway.policy.api.EndpointDescriptor;
import quotagateway.policy.api.EndpointState;

/**
 * Discovery's agent: the whole list, and watches with the changes; lists of any size, whole or torn, indented
 * or not. It falls silent on demand. All of its state lives on one loop.
 */
public final class DiscoveryStandIn implements AutoCloseable {
    /** How lists are written. */
    public record ListFormat(boolean inParts, boolean indented) {}

    private static final String PATH = "/catalog/members";
    private static final long HEARTBEAT_SECONDS = 2;
    /** Torn lists come in parts of up to so many bytes, with a pause (us) between. */
    private static final int MAX_PART_BYTES = 20_000;

    private static final int MAX_PAUSE_US = 300;

    private final EventLoopGroup group;
    private final Channel listener;
    private final ChannelGroup watches;
    private final EndpointInventory inventory;
    private final IntFunction<String> addressOf;
    private final ListFormat format;
    private final SplittableRandom random;
    /** The changes since version 1, in their order; a watch may begin at any of them. */
    private final List<Integer> changes = new ArrayList<>();

    private final EndpointState[] states;
    private final long[] startedAtMs;
    private byte[] completeList;
    private boolean silent;
    final AtomicLong bytesSent = new AtomicLong();

    public DiscoveryStandIn(
            EventLoopGroup group,
            int port,
            EndpointInventory servers,
            IntFunction<String> dial,
            ListFormat form,
            long seed)
            throws InterruptedException {
        this.group = group;
        this.inventory = servers;
        this.addressOf = dial;
        this.format = form;
        random = new SplittableRandom(seed);
        watches = new DefaultChannelGroup(group.next());
        states = new EndpointState[servers.size()];
        java.util.Arrays.fill(states, EndpointState.UP);
        startedAtMs = new long[servers.size()];
        listener = StandInLoops.listen(
                group,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                () -> List.of(new HttpServerCodec(), new HttpObjectAggregator(4096), new Asked()));
        group.scheduleAtFixedRate(
                () -> push("\n".getBytes(StandardCharsets.US_ASCII)),
                HEARTBEAT_SECONDS,
                HEARTBEAT_SECONDS,
                TimeUnit.SECONDS);
    }

    public int port() {
        return StandInLoops.port(listener);
    }

    /** Servers change, in one version; told to all watches. */
    public void change(Set<Integer> which, EndpointState to, long born) {
        group.execute(() -> {
            for (int server : which) {
                states[server] = to;
                startedAtMs[server] = born;
                changes.add(server);
            }
            completeList = null;
            push(list(false, which));
        });
    }

    /** Silent: open watches get nothing more, and new calls no answer. */
    public void setSilent(boolean on) {
        group.execute(() -> silent = on);
    }

    private void push(byte[] line) {
        if (!silent) {
            for (Channel watch : watches) {
                write(watch, Unpooled.wrappedBuffer(line));
            }
        }
    }

    /** A version is one more than the changes before it. */
    private byte[] list(boolean all, Iterable<Integer> which) {
        String space = format.indented ? "\n  " : "";
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        put(
                text,
                "{" + space + "\"seq\":" + (1 + changes.size()) + ',' + space + "\"whole\":" + all + ','
                        + space
                        + "\"hosts\":[");
        String comma = "";
        for (int server : which) {
            put(text, comma + space + entry(server));
            comma = ",";
        }
        put(text, (format.indented ? "\n]\n}" : "]}") + "\n");
        return text.toByteArray();
    }

    private static void put(ByteArrayOutputStream to, String text) {
        to.writeBytes(text.getBytes(StandardCharsets.US_ASCII));
    }

    private String entry(int server) {
        EndpointDescriptor s = inventory.descriptor(server, states[server], (double) startedAtMs[server]);
        String word = switch (states[server]) {
            case UP -> "active";
            case DRAINING -> "leaving";
            case REMOVED -> "left";
        };
        return "{\"host\":\"" + s.id() + "\",\"dial\":\"" + addressOf.apply(server) + "\",\"site\":\"" + s.zone()
                + "\",\"class\":\"m\",\"block\":" + s.cell() + ",\"health\":\"" + word
                + "\",\"share\":1.0,\"born_ms\":"
                + startedAtMs[server] + "}";
    }

    /** The whole list as text, in discovery's form. */
    public byte[] completeList() {
        if (completeList == null) {
            List<Integer> all = new ArrayList<>();
            for (int i = 0; i < states.length; i++) {
                if (states[i] != EndpointState.REMOVED) {
                    all.add(i);
                }
            }
            completeList = list(true, all);
        }
        return completeList;
    }

    private void write(Channel to, ByteBuf text) {
        bytesSent.addAndGet(text.readableBytes());
        to.writeAndFlush(new DefaultHttpContent(text));
    }

    /** Writes a list whole, or in parts with pauses, and then what follows. */
    private void send(Channel to, ByteBuf list, Runnable then) {
        if (!format.inParts || list.readableBytes() < 2) {
            write(to, list);
            then.run();
            return;
        }
        int part = 1 + random.nextInt(Math.min(MAX_PART_BYTES, list.readableBytes() - 1));
        write(to, list.readRetainedSlice(part));
        group.schedule(() -> send(to, list, then), random.nextInt(MAX_PAUSE_US), TimeUnit.MICROSECONDS);
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
        watches.close();
    }

    private final class Asked extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            QueryStringDecoder asked = new QueryStringDecoder(request.uri());
            if (silent) {
                return;
            }
            boolean found = asked.path().equals(PATH) && request.method().equals(HttpMethod.GET);
            DefaultHttpResponse head = new DefaultHttpResponse(
                    HttpVersion.HTTP_1_1, found ? HttpResponseStatus.OK : HttpResponseStatus.NOT_FOUND);
            if (!found) {
                HttpUtil.setContentLength(head, 0);
                ctx.write(head);
                ctx.writeAndFlush(new DefaultLastHttpContent());
            } else if (asked.parameters().containsKey("follow")) {
                head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
                ctx.write(head);
                int changesBefore = changes.size();
                send(ctx.channel(), Unpooled.wrappedBuffer(since(asked)), () -> watch(ctx.channel(), changesBefore));
            } else {
                HttpUtil.setContentLength(head, completeList().length);
                ctx.write(head);
                send(
                        ctx.channel(),
                        Unpooled.wrappedBuffer(completeList()),
                        () -> ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
            }
        }

        /** Tells changes from here on; first those that have come while the answer was written in parts. */
        private void watch(Channel channel, int changesTold) {
            watches.add(channel);
            if (changes.size() > changesTold && !silent) {
                List<Integer> missed = changes.subList(changesTold, changes.size());
                write(channel, Unpooled.wrappedBuffer(list(false, new LinkedHashSet<>(missed))));
            }
        }

        /** What has changed since the version that is named, or the whole list where it is not known. */
        private byte[] since(QueryStringDecoder asked) {
            try {
                int from = Integer.parseInt(asked.parameters()
                                .getOrDefault("since", List.of(""))
                                .get(0))
                        - 1;
                return list(false, new LinkedHashSet<>(changes.subList(from, changes.size())));
            } catch (NumberFormatException | IndexOutOfBoundsException e) {
                return completeList();
            } catch (IllegalArgumentException e) { // a version to come
                return completeList();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                System.err.println("agent: " + cause);
            }
            ctx.close();
        }
    }
}
