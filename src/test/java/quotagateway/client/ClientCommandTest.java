package quotagateway.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import quotagateway.config.GatewayConfig;
import quotagateway.config.Json;
import quotagateway.policy.api.PolicySettings;
import quotagateway.resp.RespCodec;

class ClientCommandTest {
    private static final String CUSTOMER = "00000001deadbeef";
    private static final UnpooledByteBufAllocator ALLOCATOR = UnpooledByteBufAllocator.DEFAULT;

    private final PolicySettings settings = settings();

    private static PolicySettings settings() {
        String json = """
            {"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","name":"n",
             "settings":{"rank":0,"group_size":4,"family_info":{"most_units":2},
              "request_classes":[{"name":"read","effect":"read_like","aim":600,"hard_limit":2000},
                {"name":"write","effect":"idempotency_key","aim":600,"hard_limit":2000}],
              "tariffs":[{"name":"p","per_second":8,"depth":8}]}}""";
        try {
            return GatewayConfig.of(Json.read(json), Map.of()).settings();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private ClientCommand parse(String... arguments) {
        return ClientCommand.parse(RespCodec.command(ALLOCATOR, arguments), settings);
    }

    @Test
    void attributesAreParsedInAnyOrderAndUnknownOnesIgnored() {
        ClientCommand command = parse("CALL.GET", CUSTOMER, "id", "x=1,units=2,c=read,d=12.5,t=p,spread=3,first=1,r=1");
        assertEquals(CUSTOMER, command.customer());
        assertEquals("id", command.id());
        assertEquals("read", command.requestClass());
        assertEquals("p", command.plan());
        assertEquals(12.5, command.clientTimeoutMs());
        assertEquals(2, command.units());
        assertEquals(3, command.gatewayCount());
        assertEquals(1, command.firstGateway());
        assertTrue(command.retry());
    }

    @Test
    void absentAttributesTakeTheirDefaults() {
        ClientCommand command = parse("CALL.GET", CUSTOMER, "id", "c=read,t=p,d=5");
        assertEquals(1, command.units());
        assertEquals(1, command.gatewayCount());
        assertEquals(0, command.firstGateway());
        assertFalse(command.retry());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "CALL.GET; 00000001deadbeef; c=read,t=p,d=5,y; name=value expected",
                "CALL.GET; 00000001deadbeef; c=read,t=p,d=NaN; a number is malformed",
                "CALL.GET; 00000001deadbeef; c=read,t=p,d=1e3; a number is malformed",
                "CALL.GET; 00000001deadbeef; c=read,t=p,d=5,units=+1; a number is malformed",
                "CALL.GET; 00000001deadbeef; c=read,t=p,d=5,first=1234567890; a number is malformed",
                "CALL.GET; 00000001deadbeef; c=read,t=p; c, t and d are needed",
                "CALL.GET; 00000001deadbeef; t=p,d=5; c, t and d are needed",
                "CALL.GET; 00000001deadbeef; c=read,t=p,d=5,units=3; units or set out of range",
                "CALL.GET; 00000001deadbeef; c=read,t=p,d=5,units=0; units or set out of range",
                "CALL.GET; 00000001deadbeef; c=read,t=p,d=5,spread=5; units or set out of range",
                "CALL.GET; 00000001deadbeef; c=read,t=p,d=5,first=4; units or set out of range",
                "CALL.POST; 00000001deadbeef; c=read,t=p,d=5; not the command of this class, or no k",
                "CALL.GET; 00000001deadbeef; c=write,t=p,d=5,k=1; not the command of this class, or no k",
                "CALL.POST; 00000001deadbeef; c=write,t=p,d=5,k=; not the command of this class, or no k",
                "CALL.GET; 00000002deadbeef; c=read,t=p,d=5; customer or id is malformed",
                "CALL.GET; 0000001DEADBEEF0; c=read,t=p,d=5; customer or id is malformed"
            })
    void malformedCommandIsRejectedWithItsError(String verb, String customer, String attributes, String errorText) {
        MalformedCommandException rejection =
                assertThrows(MalformedCommandException.class, () -> parse(verb, customer, "id", attributes));
        assertEquals(errorText, rejection.getMessage());
    }

    @Test
    void commandsWithWrongArgumentsAreRejected() {
        assertEquals(
                "wrong number of arguments",
                assertThrows(MalformedCommandException.class, () -> parse("CALL.GET", CUSTOMER, "id"))
                        .getMessage());
        List<RedisMessage> arguments = new ArrayList<>(
                RespCodec.command(ALLOCATOR, "CALL.GET", CUSTOMER, "id").children());
        arguments.add(FullBulkStringRedisMessage.NULL_INSTANCE);
        assertEquals(
                "bulk strings expected",
                assertThrows(
                                MalformedCommandException.class,
                                () -> ClientCommand.parse(new ArrayRedisMessage(arguments), settings))
                        .getMessage());
    }

    @Test
    void commandForEndpointHasTheRemainingTimeout() {
        ArrayRedisMessage command =
                RespCodec.command(ALLOCATOR, "CALL.POST", CUSTOMER, "id", "c=write,d=500,t=p,k=1", "body");
        ClientCommand parsed = ClientCommand.parse(command, settings);
        assertEquals(
                List.of("CALL.POST", CUSTOMER, "id", "c=write,d=123,t=p,k=1", "body"),
                texts(parsed.encodeForEndpoint(command, 123.9, ALLOCATOR)));
        assertEquals(
                "c=write,d=1,t=p,k=1",
                texts(parsed.encodeForEndpoint(command, -5, ALLOCATOR)).get(3));
    }

    private static List<String> texts(ArrayRedisMessage message) {
        return message.children().stream().map(RespCodec::text).toList();
    }
}
