package quotagateway.client;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import quotagateway.policy.api.Idempotency;
import quotagateway.policy.api.PolicySettings;
import quotagateway.policy.api.RequestClass;
import quotagateway.resp.RespCodec;

/**
 * A request command of a client, parsed: {@code CALL.GET|CALL.POST customer id attributes [body]}.
 *
 * @param customer whose quota the request is charged to
 * @param id the client's name for the request; an endpoint recognizes a repeated request by it
 * @param requestClass name of the request's class, which the settings need not know
 * @param plan name of the customer's quota plan
 * @param clientTimeoutMs how long the client waits for the response
 * @param units what the request takes off the quota
 * @param gatewayCount how many gateways share the customer's quota
 * @param firstGateway rank of the first of these gateways
 * @param retry whether the client has sent the request before
 * @param textBeforeTimeout the attribute list up to the value of the timeout, as it goes on to an endpoint
 * @param textAfterTimeout the attribute list behind the value of the timeout
 */
public record ClientCommand(
        String customer,
        String id,
        String requestClass,
        String plan,
        double clientTimeoutMs,
        int units,
        int gatewayCount,
        int firstGateway,
        boolean retry,
        String textBeforeTimeout,
        String textAfterTimeout) {

    /** Which argument may be a large value, counted from the verb, which is 0. */
    static final int BODY_INDEX = 4;

    private static final int CUSTOMER_INDEX = 1;
    private static final int ID_INDEX = 2;
    private static final int ATTRIBUTES_INDEX = 3;

    private static final String READ_VERB = "CALL.GET";
    private static final String WRITE_VERB = "CALL.POST";

    /** A customer is 16 hex digits, below 2^33. */
    private static final Pattern CUSTOMER_FORM = Pattern.compile("0{7}[01][0-9a-f]{8}");

    private static final int MAX_ID_LENGTH = 64;
    /** The least timeout that an endpoint is given, as the attribute is in whole milliseconds. */
    private static final long MIN_TIMEOUT_MS = 1;

    /** Whether a verb is that of a request command. */
    static boolean isRequestVerb(String verb) {
        return READ_VERB.equals(verb) || WRITE_VERB.equals(verb);
    }

    /**
     * Parses a command, and checks units, gateways and the class against the settings.
     *
     * @throws MalformedCommandException where it is no request that may be taken
     */
    public static ClientCommand parse(ArrayRedisMessage command, PolicySettings settings) {
        List<RedisMessage> arguments = command.children();
        checkArguments(arguments);
        String customer = RespCodec.text(arguments.get(CUSTOMER_INDEX));
        String id = RespCodec.text(arguments.get(ID_INDEX));
        if (!CUSTOMER_FORM.matcher(customer).matches() || id.isEmpty() || id.length() > MAX_ID_LENGTH) {
            throw new MalformedCommandException("customer or id is malformed");
        }
        CommandAttributes attributes = CommandAttributes.parse(RespCodec.text(arguments.get(ATTRIBUTES_INDEX)));
        checkRanges(attributes, settings);
        checkRequestClass(RespCodec.text(arguments.get(0)), attributes, settings);
        return new ClientCommand(
                customer,
                id,
                attributes.requestClass(),
                attributes.plan(),
                attributes.clientTimeoutMs(),
                attributes.units(),
                attributes.gatewayCount(),
                attributes.firstGateway(),
                attributes.isRetry(),
                attributes.textBeforeTimeout(),
                attributes.textAfterTimeout());
    }

    private static void checkArguments(List<RedisMessage> arguments) {
        if (arguments.size() <= ATTRIBUTES_INDEX || arguments.size() > BODY_INDEX + 1) {
            throw new MalformedCommandException("wrong number of arguments");
        }
        for (RedisMessage argument : arguments) {
            if (!RespCodec.isValue(argument)) {
                throw new MalformedCommandException("bulk strings expected");
            }
        }
    }

    private static void checkRanges(CommandAttributes attributes, PolicySettings settings) {
        boolean unitsInRange = attributes.units() >= 1 && attributes.units() <= settings.maxUnits();
        boolean gatewaysInRange = attributes.gatewayCount() >= 1
                && attributes.gatewayCount() <= settings.nodeCount()
                && attributes.firstGateway() < settings.nodeCount();
        if (!unitsInRange || !gatewaysInRange) {
            throw new MalformedCommandException("units or set out of range");
        }
    }

    /** The verb has to fit the class, where the settings know that; a class with keys needs one. */
    private static void checkRequestClass(String verb, CommandAttributes attributes, PolicySettings settings) {
        boolean readVerb = READ_VERB.equals(verb);
        for (RequestClass candidate : settings.requestClasses()) {
            if (candidate.name().equals(attributes.requestClass())) {
                boolean idempotent = candidate.idempotency() == Idempotency.IDEMPOTENT;
                boolean keyNeeded = candidate.idempotency() == Idempotency.IDEMPOTENCY_KEY;
                if (readVerb != idempotent || (keyNeeded && !attributes.hasIdempotencyKey())) {
                    throw new MalformedCommandException("not the command of this class, or no k");
                }
            }
        }
    }

    /** The command for an endpoint: as it came, except that the timeout is what is left of the client's time (ms). */
    public ArrayRedisMessage encodeForEndpoint(
            ArrayRedisMessage command, double remainingMs, ByteBufAllocator allocator) {
        List<RedisMessage> arguments = command.children();
        List<RedisMessage> encoded = new ArrayList<>(arguments.size());
        for (int i = 0; i < arguments.size(); i++) {
            encoded.add(
                    i == ATTRIBUTES_INDEX
                            ? encodeAttributes(remainingMs, allocator)
                            : ((FullBulkStringRedisMessage) arguments.get(i)).retainedDuplicate());
        }
        return new ArrayRedisMessage(encoded);
    }

    private FullBulkStringRedisMessage encodeAttributes(double remainingMs, ByteBufAllocator allocator) {
        long timeoutMs = Math.max(MIN_TIMEOUT_MS, (long) remainingMs);
        return RespCodec.bulk(allocator, textBeforeTimeout + timeoutMs + textAfterTimeout);
    }
}
