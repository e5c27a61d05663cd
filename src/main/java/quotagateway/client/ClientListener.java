package quotagateway.client;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import java.net.SocketAddress;
import quotagateway.transport.AcceptFailureHandler;
import quotagateway.transport.EventLoopContext;
import quotagateway.transport.Transport;

/**
 * Listens for clients, and holds their connections up to a limit. At the limit one connection is evicted for each that
 * comes; while none may be, the listener stops accepting and looks again a little later.
 *
 * <p>All methods but {@link #bind}, {@link #hasListened} and {@link #limitConnections} are called on the event loop.
 */
public final class ClientListener {
    /** Bursts of new clients wait here while the loop is busy. */
    private static final int BACKLOG = 1024;
    /** With so much written and not sent (bytes) a client is read no further, until half of it has gone out. */
    private static final int MAX_UNSENT_BYTES = 32 * 1024;

    private static final int MAX_ACCEPTS_PER_ROUND = 16;
    /** How often (ms) connections that send no whole command are looked for. */
    private static final double SWEEP_INTERVAL_MS = 250;
    /** While none is accepted, how often (ms) it is looked whether a connection may be evicted by now. */
    private static final double EVICTION_RETRY_MS = 50;
    /** One connection in so many is held beyond the limit, so that new ones can be seen and others evicted. */
    private static final int LIMIT_PER_EXTRA_CONNECTION = 16;

    private final EventLoopContext loop;
    private final ClientRequestHandler requests;
    private final ConnectionTable connections;
    private final ListenerContext context;
    private final AcceptQueueHandler acceptQueue;
    /** Null until the listener is up; set on the loop and read from other threads too. */
    private volatile Channel serverChannel;

    private long connectionCount;
    private boolean evictionRetryScheduled;

    /** The last is how many connections are held at the most, but for {@link #connectionsBeyondLimit}. */
    public ClientListener(EventLoopContext loop, ClientRequestHandler requests, int maxConnections) {
        this.loop = loop;
        this.requests = requests;
        connections = new ConnectionTable(loop, maxConnections);
        acceptQueue = new AcceptQueueHandler(loop, MAX_ACCEPTS_PER_ROUND);
        context = new ListenerContext(loop, requests, connections, new ReadAheadBudget(loop), this::admitConnections);
    }

    /** How many connections are held beyond a limit while it is looked for one to evict. */
    public static int connectionsBeyondLimit(int limit) {
        return Math.max(1, limit / LIMIT_PER_EXTRA_CONNECTION);
    }

    /** Begins to look for connections that send no whole command; called once. */
    public void start() {
        loop.schedule(SWEEP_INTERVAL_MS, this::sweep);
    }

    /**
     * Binds, and waits until that is done. Returns the address, or null where the node has been told to shut down;
     * throws the socket's error where the address cannot be had.
     */
    public SocketAddress bind(EventLoopGroup group, SocketAddress address) throws InterruptedException {
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(Transport.serverSocketChannel())
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(Transport.reusePort(), true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, acceptUntilQueueIsEmpty())
                .handler(new ServerInitializer())
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, Transport.newReadToEndAllocator())
                .childOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(MAX_UNSENT_BYTES / 2, MAX_UNSENT_BYTES))
                .childHandler(new ConnectionInitializer())
                .bind(address)
                .await();
        return serverChannel == null ? null : bound.sync().channel().localAddress();
    }

    /** Accepts until none waits. By default a round with epoll ends behind the first connection. */
    private static RecvByteBufAllocator acceptUntilQueueIsEmpty() {
        ServerChannelRecvByteBufAllocator allocator = new ServerChannelRecvByteBufAllocator();
        allocator.maxMessagesPerRead(MAX_ACCEPTS_PER_ROUND);
        return allocator.respectMaybeMoreData(false);
    }

    /** Sets the listening channel up, unless the node has been told to shut down meanwhile. */
    private final class ServerInitializer extends ChannelInitializer<ServerSocketChannel> {
        @Override
        protected void initChannel(ServerSocketChannel channel) {
            if (!requests.mayListen()) {
                channel.close();
                return;
            }
            serverChannel = channel; // not after bind: a client may come before that has returned
            channel.pipeline()
                    .addLast(acceptQueue, new AcceptFailureHandler(loop, ClientListener.this::updateAccepting));
        }
    }

    /** Sets an accepted connection up. */
    private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            ClientConnection connection =
                    new ClientConnection(channel, ++connectionCount, context, acceptQueue.longestWaitMs());
            connection.addHandlers();
            connections.add(connection);
            admitConnections();
        }
    }

    /** Whether the listener is or has been up. */
    public boolean hasListened() {
        return serverChannel != null;
    }

    /** Sets how many connections are held at the most from now on. */
    public void limitConnections(int maxConnections) {
        connections.setLimit(maxConnections);
    }

    private void sweep() {
        loop.schedule(SWEEP_INTERVAL_MS, this::sweep); // first, so that a fault doesn't end the sweeps
        connections.rejectOverdueCommands();
        if (hasListened()) {
            updateAccepting(); // the limit may have been raised
        }
    }

    /** The number of connections has changed, or one may be evicted by now. */
    private void admitConnections() {
        connections.evictBeyondLimit();
        updateAccepting();
    }

    private void updateAccepting() {
        boolean hasCapacity = connections.hasCapacity();
        acceptQueue.setAccepting(hasCapacity);
        if (!hasCapacity && !evictionRetryScheduled) {
            evictionRetryScheduled = true;
            loop.schedule(EVICTION_RETRY_MS, () -> {
                evictionRetryScheduled = false;
                admitConnections();
            });
        }
    }

    /** Listens no more, at once: the node has ended. Where it never listened there is nothing to close. */
    public void close() {
        if (serverChannel != null) {
            serverChannel.close().addListener(closed -> {
                if (!closed.isSuccess()) {
                    loop.logFailure("closing the listener", closed.cause());
                }
            });
        }
    }

    /** Lets connections read on that were held back because too much was buffered for all requests. */
    public void resumeReading() {
        connections.resumeReading();
    }

    /** Has each connection end behind its last response from now on. */
    public void closeAfterResponses() {
        connections.closeAfterResponses();
    }

    /** Ends connections as they are between requests, from now on until there is none. */
    public void closeIdle() {
        connections.closeIdle();
    }

    /** Ends each connection that has no request open, as the process is about to end. */
    public void closeAll() {
        connections.closeAll();
    }

    /** Stops listening, at the next moment at which no connection waits to be accepted. */
    public void stopListening() {
        acceptQueue.closeWhenEmpty();
    }

    /** Whether there is no connection left. */
    public boolean isIdle() {
        return connections.isEmpty();
    }
}
