package quotagateway.discovery;

import com.fasterxml.jackson.core.JacksonException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import quotagateway.log.NodeEvent.DiscoveryCall.Step;
import quotagateway.transport.ConfiguredAddress;
import quotagateway.transport.EventLoopContext;

/**
 * One connection to the discovery agent: a call for the whole list where none is known, and a watch from there on.
 * Bodies are read in pieces as they come. It ends with its channel, and another one takes its place.
 */
final class DiscoveryConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final String PATH = "/catalog/members";

    private final EventLoopContext loop;
    private final DiscoveryClient client;
    private final EndpointListForwarder.Source lists;
    private final EndpointListParser parser;
    private final SplittableRandom random;
    private final WatchTimeout timeout = new WatchTimeout();
    private Channel channel;
    /** Whether the call is a watch; else it is one for the whole list. */
    private boolean watching;
    /** Whether the watch has answered: from here on it may be silent between its lines. */
    private boolean watchAnswered;
    /** Whether the call was refused or cannot be read: what still comes is ignored. */
    private boolean failed;
    /** Bytes of bodies since the connection is up. */
    private long bytesRead;

    private boolean stallTimerRunning;

    DiscoveryConnection(
            EventLoopContext loop,
            DiscoveryClient client,
            EndpointListForwarder.Source lists,
            SplittableRandom random) {
        this.loop = loop;
        this.client = client;
        this.lists = lists;
        parser = lists.parser();
        this.random = random;
    }

    /** The address that the connection was opened to. */
    ConfiguredAddress source() {
        return lists.address();
    }

    /** By when (ms of the node's clock) something has to come. */
    double deadline() {
        return watchAnswered && !parser.isInsideList() ? timeout.silenceDeadline() : timeout.answerDeadline();
    }

    /** Ends the connection; {@link DiscoveryClient#onDisconnected} follows. */
    void close() {
        channel.close();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        if (!client.isCurrent(source())) { // the address was replaced while the connection came up
            ctx.close();
            return;
        }
        channel = ctx.channel();
        client.onConnected(this);
        sendRequest(ctx, client.version());
    }

    /** Asks for a watch from a version on, or for the whole list where there is none. */
    private void sendRequest(ChannelHandlerContext ctx, long version) {
        watching = version > DiscoveryClient.NO_VERSION;
        client.logStep(source(), watching ? Step.WATCH_REQUESTED : Step.LIST_REQUESTED);
        watchAnswered = false;
        timeout.onRequest(loop.now(), client.nextAnswerTimeoutMs());
        InetSocketAddress address = source().address();
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.GET, watching ? PATH + "?follow=1&since=" + version : PATH);
        request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        ctx.writeAndFlush(request);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) throws IOException {
        if (message instanceof HttpResponse response && !response.status().equals(HttpResponseStatus.OK)) {
            failed = true; // whatever its body is, and even if that never ends
            client.onRefused(source(), response.status());
            ctx.close();
        }
        if (!failed
                && message instanceof HttpContent content
                && content.content().isReadable()) {
            readBody(content.content());
        }
        if (!failed && message instanceof LastHttpContent) {
            onResponseEnd(ctx);
        }
    }

    private void readBody(ByteBuf body) throws IOException {
        int size = body.readableBytes();
        boolean startedBetweenLists = !parser.isInsideList();
        long objectsBefore = parser.objectCount();
        long listsBefore = parser.listCount();
        parser.read(body);
        bytesRead += size;
        timeout.onRead(loop.now(), random);
        boolean objectEnded = parser.objectCount() != objectsBefore;
        if (objectEnded || (startedBetweenLists && parser.isInsideList())) {
            timeout.onProgress(loop.now());
        }
        if (!parser.hasTooManyEntries()) { // more of a list without an end earns it no time
            timeout.onBytes(size);
        }
        // An empty line of a watch says that nothing has changed.
        boolean emptyLine = !objectEnded && watching && !parser.isInsideList();
        if (parser.listCount() > listsBefore || emptyLine) {
            onAnswered();
        }
    }

    private void onAnswered() {
        watchAnswered = watching;
        if (client.isCurrent(source())) {
            timeout.onAnswered();
            client.onAnswered();
        }
    }

    /**
     * The watch goes on from the whole list that has come on this connection. Versions belong to an agent: the client's
     * may be that of a new address meanwhile, and would have a former agent leave out what has changed.
     */
    private void onResponseEnd(ChannelHandlerContext ctx) {
        boolean hasList = lists.version() > DiscoveryClient.NO_VERSION && !parser.isInsideList();
        if (!watching && hasList) {
            sendRequest(ctx, lists.version());
        } else {
            ctx.close();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (parser.isInsideList() && !stallTimerRunning) {
            startStallTimer(ctx);
        }
        loop.flush();
    }

    /** Closes the connection where nothing follows part of a list; one that grows is given the same time again. */
    private void startStallTimer(ChannelHandlerContext ctx) {
        long bytesBefore = bytesRead;
        stallTimerRunning = true;
        loop.schedule(timeout.stalledListMs(), () -> {
            stallTimerRunning = false;
            if (!parser.isInsideList()) {
                return;
            }
            if (bytesRead == bytesBefore) {
                ctx.close();
            } else {
                startStallTimer(ctx);
            }
        });
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws IOException {
        parser.close();
        client.onDisconnected(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        failed = true;
        if (!(cause instanceof IOException) || cause instanceof JacksonException) {
            loop.logFailure("discovery", cause);
        }
        ctx.close();
    }
}
