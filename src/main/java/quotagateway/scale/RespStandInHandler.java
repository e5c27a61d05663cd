package quotagateway.scale;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;

/** One RESP connection of a stand-in: commands are begun as they come and answered in their order. */
public abstract class RespStandInHandler extends ChannelInboundHandlerAdapter {
    private final ArrayDeque<String[]> pendingResponses = new ArrayDeque<>();

    /** Takes a command; answers on the loop, now or later, or never. */
    public abstract void command(ChannelHandlerContext ctx, List<String> words, Consumer<String> answer);

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        List<String> words = StandInLoops.words(message);
        ReferenceCountUtil.release(message);
        String[] slot = new String[1];
        pendingResponses.add(slot);
        if (words.isEmpty()) {
            answer(ctx, slot, "-ERR no command\r\n");
        } else if (words.get(0).equals("CLIENT") || words.get(0).equals("SELECT")) {
            answer(ctx, slot, "+OK\r\n");
        } else if (words.get(0).equals("PING")) {
            answer(ctx, slot, "+PONG\r\n");
        } else {
            command(ctx, words, text -> answer(ctx, slot, text));
        }
    }

    private void answer(ChannelHandlerContext ctx, String[] slot, String text) {
        slot[0] = text;
        while (!pendingResponses.isEmpty() && pendingResponses.peek()[0] != null) {
            ctx.write(ByteBufUtil.writeAscii(ctx.alloc(), pendingResponses.poll()[0]));
        }
        ctx.flush();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            System.err.println("stand-in: " + cause);
        }
        ctx.close();
    }
}
