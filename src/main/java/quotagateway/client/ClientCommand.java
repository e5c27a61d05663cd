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
 * A parsed request command of a client: {@code CALL.GET|CALL.POST customer id attributes [body]}.
 *
 * @param customer whose quota the request is charged to
 * @param id the client's identifier of the request, by which an endpoint recognizes a repeated request
 * @param requestClass name of the request class, which may be absent from the settings
 * @param plan name of the customer's quota plan
 * @param clientTimeoutMs how long the client waits for the response, in ms
 * @param units units of quota that the request costs
 * @param gatewayCount how many gateways share the customer's quota
 * @param firstGateway rank of the first of these gateways
 * @param retry whether the client has sent the request before
 * @param textBeforeTimeout the attribute list up to the value of the timeout, as it is forwarded to an endpoint
 * @param textAfterTimeout the attribute list after the value of the timeout
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

    /** Index of the argument that may be a large value; the verb has index 0. */
    static final int BODY_INDEX = 4;

    private static final int CUSTOMER_INDEX = 1;
    private static final int ID_INDEX = 2;
    private static final int ATTRIBUTES_INDEX = 3;

    private static final String READ_VERB = "CALL.GET";
    private static final String WRITE_VERB = "CALL.POST";

    /** A customer is 16 hex digits, below 2^33. */
    private static final Pattern CUSTOMER_PATTERN = Pattern.compile("0{7}[01][0-9a-f]{8}");

    private static final int MAX_ID_LENGTH = 64;
    /** Smallest timeout that is sent to an endpoint, as the attribute is an integer number of milliseconds. */
    private static final long MIN_TIMEOUT_MS = 1;

    /** Returns whether the verb is that of a request command. */
    static boolean isRequestVerb(String verb) {
        return READ_VERB.equals(verb) || WRITE_VERB.equals(verb);
    }

    /**
     * Parses a command, and checks its units, its gateways and its request class against the settings.
     *
     * @throws MalformedCommandException if the command is not a valid request command
     */
    public static ClientCommand parse(ArrayRedisMessage command, PolicySettings settings) {
        List<RedisMessage> arguments = command.children();
        checkArguments(arguments);
        String customer = RespCodec.text(arguments.get(CUSTOMER_INDEX));
        String id = RespCodec.text(arguments.get(ID_INDEX));
        if (!CUSTOMER_PATTERN.matcher(customer).matches() || id.isEmpty() || id.length() > MAX_ID_LENGTH) {
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
            if (!RespCodec.isNonNullBulkString(argument)) {
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

    /** Checks that the verb fits the request class, if the settings have it, and that a required key is present. */
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

    /** Returns the command for an endpoint: the client's command with the remaining time (ms) as its timeout. */
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
