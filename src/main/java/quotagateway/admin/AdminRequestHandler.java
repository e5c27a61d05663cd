package quotagateway.admin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.io.IOException;

/** One connection to the admin endpoint: handles its first request, and closes after the response. */
final class AdminRequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final String TEXT_CONTENT_TYPE = "text/plain; charset=utf-8";
    private static final String MALFORMED = "malformed\n";

    private final AdminServer server;
    private final AdminOperations operations;
    private final SocketChannel channel;
    private boolean hasRequest;

    AdminRequestHandler(AdminServer server, SocketChannel channel) {
        this.server = server;
        this.operations = server.operations();
        this.channel = channel;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        if (hasRequest) {
            return;
        }
        hasRequest = true;
        server.onRequestComplete(channel);
        if (request.decoderResult().isFailure()) {
            respond(statusOf(request.decoderResult().cause()), MALFORMED);
        } else {
            route(request.method(), request.uri());
        }
    }

    private static HttpResponseStatus statusOf(Throwable decoderFailure) {
        if (decoderFailure instanceof TooLongHttpLineException) {
            return HttpResponseStatus.REQUEST_URI_TOO_LONG;
        }
        if (decoderFailure instanceof TooLongHttpHeaderException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        return HttpResponseStatus.BAD_REQUEST;
    }

    private void route(HttpMethod method, String uri) {
        String path;
        try {
            path = new QueryStringDecoder(uri).path();
        } catch (IllegalArgumentException e) { // an incomplete escape sequence
            respond(HttpResponseStatus.BAD_REQUEST, MALFORMED);
            return;
        }
        if (path.startsWith(AdminServer.CORDON_PATH)) {
            cordon(method, path.substring(AdminServer.CORDON_PATH.length()), true);
        } else if (path.startsWith(AdminServer.UNCORDON_PATH)) {
            cordon(method, path.substring(AdminServer.UNCORDON_PATH.length()), false);
        } else if (path.equals(AdminServer.HEALTH_PATH)) {
            health(method);
        } else if (path.equals(AdminServer.METRICS_PATH)) {
            metrics(method);
        } else {
            respond(HttpResponseStatus.NOT_FOUND, "no such call\n");
        }
    }

    private void cordon(HttpMethod method, String endpoint, boolean cordoned) {
        if (requireMethod(method, HttpMethod.POST)) {
            operations.cordon(endpoint, cordoned, this::respondToCordon);
        }
    }

    private void respondToCordon(CordonResult result) {
        switch (result) {
            case DONE -> respond(HttpResponseStatus.OK, "done\n");
            case UNKNOWN -> respond(HttpResponseStatus.NOT_FOUND, "no list has named it\n");
            case NOT_PERSISTED -> respond(HttpResponseStatus.SERVICE_UNAVAILABLE, "not kept\n");
        }
    }

    private void health(HttpMethod method) {
        if (!requireMethod(method, HttpMethod.GET)) {
            return;
        }
        if (operations.acceptsClients()) {
            respond(HttpResponseStatus.OK, "takes clients\n");
        } else {
            respond(HttpResponseStatus.SERVICE_UNAVAILABLE, "takes no clients\n");
        }
    }

    private void metrics(HttpMethod method) {
        if (requireMethod(method, HttpMethod.GET)) {
            FullHttpResponse response = response(HttpResponseStatus.OK, operations.metricsText());
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, Metrics.CONTENT_TYPE);
            write(response);
        }
    }

    /** Returns whether the method is the required one; responds with an error if it is not. */
    private boolean requireMethod(HttpMethod method, HttpMethod required) {
        if (method.equals(required)) {
            return true;
        }
        FullHttpResponse response = response(HttpResponseStatus.METHOD_NOT_ALLOWED, "not this method\n");
        response.headers().set(HttpHeaderNames.ALLOW, required.name());
        write(response);
        return false;
    }

    private void respond(HttpResponseStatus status, String text) {
        write(response(status, text));
    }

    private static FullHttpResponse response(HttpResponseStatus status, String text) {
        ByteBuf body = Unpooled.buffer(text.length());
        ByteBufUtil.writeUtf8(body, text);
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, TEXT_CONTENT_TYPE)
                .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        return response;
    }

    /** Shuts down the output after the response and keeps reading: a reset for unread bytes could discard it. */
    private void write(FullHttpResponse response) {
        channel.writeAndFlush(response).addListener(future -> {
            channel.shutdownOutput();
            if (channel.isInputShutdown()) {
                channel.close();
            }
        });
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.onClosed(channel);
    }

    /** A caller that has shut down its output still gets its response; without a request the connection is closed. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent && (!hasRequest || channel.isOutputShutdown())) {
            ctx.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException) && !(cause instanceof CodecException)) {
            server.loop().logFailure("admin call", cause);
        }
        ctx.close();
    }
}
