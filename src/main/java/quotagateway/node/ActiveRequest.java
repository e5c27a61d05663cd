package quotagateway.node;

import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import quotagateway.client.ClientCommand;
import quotagateway.client.ClientListener;
import quotagateway.streaming.RequestBody;
import quotagateway.upstream.EndpointPool;

/** A request of a client, from its last byte to the end of its last attempt. */
public final class ActiveRequest {
    final long id;
    final ClientListener.Slot slot;
    public final ArrayRedisMessage command;
    public final ClientCommand call;
    /** By then (ms) its client stops waiting. */
    final double clientEnds;
    /** By then (ms) its client has to have the answer: its own time, or the end of the node's. */
    public double deadline;
    /** A large value that passes through, or null. */
    public final RequestBody body;

    final int bytes;
    final List<EndpointPool.Attempt> attempts = new ArrayList<>(1);
    boolean over;
    /** When (ms) it was over. */
    double overAt;

    int out;
    Future<?> timer;

    ActiveRequest(
            long id,
            ClientListener.Slot slot,
            ArrayRedisMessage command,
            ClientCommand call,
            RequestBody body,
            double deadline,
            double clientEnds) {
        this.id = id;
        this.clientEnds = clientEnds;
        this.body = body;
        this.slot = slot;
        this.command = command;
        this.call = call;
        this.deadline = deadline;
        int sum = body == null ? 0 : RequestBody.KEPT;
        for (RedisMessage part : command.children()) {
            sum += ((FullBulkStringRedisMessage) part).content().readableBytes();
        }
        bytes = sum;
    }
}
