package quotagateway.counter;

import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import java.math.BigDecimal;
import java.util.regex.Pattern;
import quotagateway.resp.RespCodec;

/** The commands and replies of the shared counter, as words of RESP. */
final class CounterProtocol {
    /** Elements of the longest reply that is kept; totals have none, a spoilt reply may be any array. */
    static final int MAX_REPLY_ELEMENTS = 4;

    private static final String[] PING = {"PING"};
    /** The counter takes a longer life of a name (ms) for this one. */
    private static final double MAX_LIFE_MS = 60_000;
    /** Amounts are added in thousandths. */
    private static final double AMOUNT_SCALE = 1000;

    /** A decimal number that a double holds: one that is not finite would stay in the policy's quotas. */
    private static final Pattern NUMBER = Pattern.compile("-?[0-9]{1,18}(\\.[0-9]{1,18})?(e[+-]?[0-9]{1,2})?");

    private CounterProtocol() {}

    /** Adds an amount to a name; the counter keeps one that is new to it for so long. */
    static String[] add(long name, double amount, double ttlMs) {
        long lifeMs = (long) Math.max(1, Math.min(MAX_LIFE_MS, ttlMs));
        return new String[] {"CNT.ADD", Long.toString(name), decimal(amount), Long.toString(lifeMs)};
    }

    /** Asks for a sign of life. */
    static String[] ping() {
        return PING;
    }

    /** The amount as a plain decimal number. */
    private static String decimal(double amount) {
        return BigDecimal.valueOf(Math.rint(amount * AMOUNT_SCALE) / AMOUNT_SCALE)
                .stripTrailingZeros()
                .toPlainString();
    }

    /** Whether a reply says that nothing was added: the counter has no capacity, or does not know the command. */
    static boolean isRejection(RedisMessage reply) {
        return reply instanceof ErrorRedisMessage error
                && (error.content().startsWith("BUSY") || error.content().startsWith("ERR"));
    }

    /** The new total that a reply to an add has; NaN where it has none. */
    static double total(RedisMessage reply) {
        String text = RespCodec.isNonNullBulkString(reply) ? RespCodec.text(reply) : "";
        return NUMBER.matcher(text).matches() ? Double.parseDouble(text) : Double.NaN;
    }
}
