package quotagateway.counter;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.SimpleStringRedisMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import quotagateway.resp.RespCodec;

class CounterProtocolTest {
    @ParameterizedTest
    @CsvSource({
        "2.5, 4000, 2.5, 4000",
        "-2.5004, 0.2, -2.5, 1",
        "0.00049, 4000.9, 0, 4000",
        "123456789, 60001, 123456789, 60000"
    })
    void addIsWrittenInThousandthsWithALifeWithinItsBounds(
            double amount, double ttlMs, String amountText, String lifeText) {
        assertArrayEquals(new String[] {"CNT.ADD", "-7", amountText, lifeText}, CounterProtocol.add(-7, amount, ttlMs));
    }

    private static FullBulkStringRedisMessage bulk(String text) {
        return RespCodec.bulk(UnpooledByteBufAllocator.DEFAULT, text);
    }

    @ParameterizedTest
    @CsvSource({"0, 0", "-3.25, -3.25", "1e9, 1e9", "2.5e-3, 0.0025", "123456789012345678, 123456789012345678"})
    void totalIsReadFromABulkString(String text, double total) {
        assertEquals(total, CounterProtocol.total(bulk(text)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "NaN", "Infinity", "1e999", "0x10", "1.", ".5", "1 ", "1234567890123456789", "+1"})
    void textThatIsNoFiniteDecimalIsNoTotal(String text) {
        assertTrue(Double.isNaN(CounterProtocol.total(bulk(text))));
    }

    @Test
    void otherRepliesAreNoTotal() {
        assertTrue(Double.isNaN(CounterProtocol.total(FullBulkStringRedisMessage.NULL_INSTANCE)));
        assertTrue(Double.isNaN(CounterProtocol.total(new SimpleStringRedisMessage("3"))));
    }

    @Test
    void onlyErrorsOfTheProtocolAreRejections() {
        assertTrue(CounterProtocol.isRejection(new ErrorRedisMessage("BUSY")));
        assertTrue(CounterProtocol.isRejection(new ErrorRedisMessage("ERR no such call")));
        assertFalse(CounterProtocol.isRejection(new ErrorRedisMessage("LOADING")));
        assertFalse(CounterProtocol.isRejection(new SimpleStringRedisMessage("BUSY")));
    }
}
