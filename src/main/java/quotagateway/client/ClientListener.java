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
import quotagateway.transport.DirectMemory;
import quotagateway.transport.EventLoopContext;
import quotagateway.transport.Transport;

/**
 * Listens for clients, and keeps the number of their connections within a limit. At the limit one connection is evicted
 * for each new one; while none may be evicted, the listener stops accepting and retries periodically.
 *
 * <p>All methods except {@link #bind}, {@link #hasListened} and {@link #limitConnections} are called on the event loop.
 */
public final class ClientListener {
    /** Length of the accept queue, which holds bursts of new clients while the event loop is busy. */
    private static final int BACKLOG = 1024;
    /** Unsent output (bytes) at which reading from a client is paused until half of it has been sent. */
    private static final int MAX_UNSENT_BYTES = 32 * 1024;

    private static final int MAX_ACCEPTS_PER_READ = 16;
    /** Interval (ms) between checks for connections whose command is overdue. */
    private static final double SWEEP_INTERVAL_MS = 250;
    /** Interval (ms) between attempts to evict a connection while accepting is paused. */
    private static final double EVICTION_RETRY_MS = 50;
    /** One connection per this many is held beyond the limit, so that new ones can be accepted and others evicted. */
    private static final int LIMIT_PER_EXTRA_CONNECTION = 16;

    private final EventLoopContext loop;
    private final ClientRequestHandler requestHandler;
    private final ConnectionTable connections;
    private final ListenerContext context;
    private final AcceptQueueHandler acceptQueue;
    /** Null until the listener is bound; set on the event loop, and also read by other threads. */
    private volatile Channel serverChannel;

    private long connectionCount;
    private boolean evictionRetryScheduled;

    /**
     * Creates a listener that is not bound yet.
     *
     * @param maxConnections limit of connections, which {@link #connectionsBeyondLimit} may exceed
     * @param outputBlockedTimeoutMs how long (ms) the system has to take over nothing of a connection's output before
     *     the connection may be closed for others' sake
     */
    public ClientListener(
            EventLoopContext loop,
            ClientRequestHandler requestHandler,
            int maxConnections,
            double outputBlockedTimeoutMs) {
        this.loop = loop;
        this.requestHandler = requestHandler;
        connections = new ConnectionTable(loop, maxConnections, outputBlockedTimeoutMs);
        acceptQueue = new AcceptQueueHandler(loop, MAX_ACCEPTS_PER_READ);
        context = new ListenerContext(loop, requestHandler, connections, new ReadAheadBudget(loop), this::enforceLimit);
    }

    /** Returns how many connections may be held beyond a limit until others have been evicted. */
    public static int connectionsBeyondLimit(int limit) {
        return Math.max(1, limit / LIMIT_PER_EXTRA_CONNECTION);
    }

    /** Starts the periodic check for connections whose command is overdue; called once. */
    public void start() {
        loop.schedule(SWEEP_INTERVAL_MS, this::sweep);
    }

    /**
     * Binds and waits for completion. Returns the bound address, or null if the node is shutting down; throws the
     * socket's error if the address cannot be bound.
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
                .childOption(ChannelOption.ALLOCATOR, DirectMemory.allocator())
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        Transport.newReadToEndAllocator(() -> !requestHandler.hasRoomForRequest(0)))
                .childOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(MAX_UNSENT_BYTES / 2, MAX_UNSENT_BYTES))
                .childHandler(new ConnectionInitializer())
                .bind(address)
                .await();
        return serverChannel == null ? null : bound.sync().channel().localAddress();
    }

    /** Returns an allocator that accepts until the queue is empty; by default epoll accepts one connection per read. */
    private static RecvByteBufAllocator acceptUntilQueueIsEmpty() {
        ServerChannelRecvByteBufAllocator allocator = new ServerChannelRecvByteBufAllocator();
        allocator.maxMessagesPerRead(MAX_ACCEPTS_PER_READ);
        return allocator.respectMaybeMoreData(false);
    }

    /** Sets up the listening channel, or closes it if the node has begun to shut down meanwhile. */
    private final class ServerInitializer extends ChannelInitializer<ServerSocketChannel> {
        @Override
        protected void initChannel(ServerSocketChannel channel) {
            if (!requestHandler.mayListen()) {
                channel.close();
                return;
            }
            serverChannel = channel; // not after bind, as a client may connect before bind returns
            channel.pipeline()
                    .addLast(acceptQueue, new AcceptFailureHandler(loop, ClientListener.this::updateAccepting));
        }
    }

    /** Sets up an accepted connection. */
    private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            ClientConnection connection =
                    new ClientConnection(channel, ++connectionCount, context, acceptQueue.maxQueueWaitMs());
            connection.addHandlers();
            connections.add(connection);
            enforceLimit();
        }
    }

    /** Returns whether the listener is bound or has been. */
    public boolean hasListened() {
        return serverChannel != null;
    }

    /** Sets the limit of connections. */
    public void limitConnections(int maxConnections) {
        connections.setLimit(maxConnections);
    }

    private void sweep() {
        loop.schedule(SWEEP_INTERVAL_MS, this::sweep); // first, so that a fault doesn't end the sweeps
        connections.rejectOverdueCommands();
        connections.sampleOutput();
        if (hasListened()) {
            updateAccepting(); // the limit may have been raised
        }
    }

    /** Evicts connections beyond the limit, and pauses or resumes accepting. */
    private void enforceLimit() {
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
                enforceLimit();
            });
        }
    }

    /** Closes the listening channel immediately, as the node has ended; does nothing if it was never bound. */
    public void close() {
        if (serverChannel != null) {
            serverChannel.close().addListener(closed -> {
                if (!closed.isSuccess()) {
                    loop.logFailure("closing the listener", closed.cause());
                }
            });
        }
    }

    /** Closes the connection whose client has taken nothing for longest, if there is such a one. */
    public void closeLongestBlocked() {
        connections.closeLongestBlocked();
    }

    /** Resumes connections that were held back because the buffers of all requests were full. */
    public void resumeReading() {
        connections.resumeReading();
    }

    /** Makes each connection close after its last response from now on. */
    public void closeAfterResponses() {
        connections.closeAfterResponses();
    }

    /** Closes connections that are between requests, repeatedly until none is left. */
    public void closeIdle() {
        connections.closeIdle();
    }

    /** Closes each connection without an open request, as the process is about to exit. */
    public void closeAll() {
        connections.closeAll();
    }

    /** Stops listening as soon as no connection waits to be accepted. */
    public void stopListening() {
        acceptQueue.closeWhenEmpty();
    }

    /** Returns whether there is no connection left. */
    public boolean isIdle() {
        return connections.isEmpty();
    }
}
