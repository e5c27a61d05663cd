package quotagateway.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.DuplexChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** An in-memory client connection whose output can be shut down separately. */
final class EmbeddedDuplexChannel extends EmbeddedChannel implements DuplexChannel {
    private boolean outputShutDown;
    private boolean outputBlocked;

    /** Simulates a system that takes over no output, or takes it over again. */
    void blockOutput(boolean blocked) {
        outputBlocked = blocked;
        flush();
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer output) throws Exception {
        if (!outputBlocked) {
            super.doWrite(output);
        }
    }

    /** Simulates a client that sends the text, which the gateway reads. */
    void receive(String text) {
        writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    /** Returns what the gateway has sent since the last call. */
    String sent() {
        StringBuilder text = new StringBuilder();
        for (ByteBuf part = readOutbound(); part != null; part = readOutbound()) {
            text.append(part.toString(StandardCharsets.UTF_8));
            part.release();
        }
        return text.toString();
    }

    /** Advances the time of the channel's own event loop, and runs the tasks that are due. */
    void advance(long ms) {
        advanceTimeBy(ms, TimeUnit.MILLISECONDS);
        runPendingTasks();
    }

    @Override
    public boolean isInputShutdown() {
        return false;
    }

    @Override
    public ChannelFuture shutdownInput() {
        return shutdownInput(newPromise());
    }

    @Override
    public ChannelFuture shutdownInput(ChannelPromise promise) {
        return promise.setSuccess();
    }

    @Override
    public boolean isOutputShutdown() {
        return outputShutDown;
    }

    @Override
    public ChannelFuture shutdownOutput() {
        return shutdownOutput(newPromise());
    }

    @Override
    public ChannelFuture shutdownOutput(ChannelPromise promise) {
        outputShutDown = true;
        return promise.setSuccess();
    }

    @Override
    public boolean isShutdown() {
        return outputShutDown && isInputShutdown();
    }

    @Override
    public ChannelFuture shutdown() {
        return shutdown(newPromise());
    }

    @Override
    public ChannelFuture shutdown(ChannelPromise promise) {
        return shutdownOutput(promise);
    }
}
