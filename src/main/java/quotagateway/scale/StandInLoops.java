package quotagateway.scale;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisArrayAggregator;
import io.netty.handler.codec.redis.RedisBulkStringAggregator;
import io.netty.handler.codec.redis.RedisDecoder;
import io.netty.handler.codec.redis.RedisMessage;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** Event loops and listeners of the stand-ins; all of it on loopback. */
public final class StandInLoops {
    private static final int BACKLOG = 1024;
    /** More than any message of the protocol has. */
    private static final int MAX_ELEMENTS = 16;

    private static final int MAX_DEPTH = 4;

    private StandInLoops() {}

    public static EventLoopGroup singleThread() {
        return new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    /** Listens, each connection with handlers of its own; a port that is taken is told with the port. */
    public static Channel listen(EventLoopGroup group, InetSocketAddress at, Supplier<List<ChannelHandler>> handlers)
            throws InterruptedException {
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel c) {
                        if (!c.localAddress().getAddress().isLoopbackAddress()) {
                            c.close(); // a listener for all of 127/8 hears the other addresses too
                            return;
                        }
                        handlers.get().forEach(c.pipeline()::addLast);
                    }
                })
                .bind(at)
                .await();
        if (!bound.isSuccess()) {
            throw new RunNotPossibleException(
                    "cannot listen at " + at.getAddress().getHostAddress() + ":" + at.getPort()
                            + ": "
                            + bound.cause().getMessage());
        }
        return bound.channel();
    }

    public static ChannelFuture connect(EventLoopGroup group, InetSocketAddress to, ChannelHandler... handlers) {
        return new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel c) {
                        c.pipeline().addLast(handlers);
                    }
                })
                .connect(to);
    }

    public static int port(Channel listener) {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Whole RESP messages. */
    public static List<ChannelHandler> resp() {
        return new ArrayList<>(List.of(
                new RedisDecoder(),
                new RedisBulkStringAggregator(),
                new RedisArrayAggregator(MAX_ELEMENTS, MAX_DEPTH)));
    }

    /** The words of a command; empty where it is no array of bulk strings. */
    public static List<String> words(Object message) {
        List<String> words = new ArrayList<>();
        if (message instanceof ArrayRedisMessage array && !array.isNull()) {
            for (RedisMessage part : array.children()) {
                if (!(part instanceof FullBulkStringRedisMessage bulk) || bulk.isNull()) {
                    return List.of();
                }
                words.add(bulk.content().toString(StandardCharsets.UTF_8));
            }
        }
        return words;
    }

    public static String command(String... words) {
        StringBuilder text = new StringBuilder("*").append(words.length).append("\r\n");
        for (String word : words) {
            text.append(bulk(word));
        }
        return text.toString();
    }

    public static String bulk(String value) {
        return "$" + value.getBytes(StandardCharsets.UTF_8).length + "\r\n" + value + "\r\n";
    }
}
