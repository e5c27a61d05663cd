package quotagateway.simulator;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

class MessageReaderTest {
    private static MessageReader reader(String input) {
        return new MessageReader(new BufferedReader(new StringReader(input)));
    }

    private static MessageReader read(String line) throws IOException {
        MessageReader message = reader(line + "\n");
        assertTrue(message.readNonEmpty());
        return message;
    }

    private static String error(Executable executable) {
        return assertThrows(MalformedInputException.class, executable).getMessage();
    }

    @Test
    void fieldsAreSeparatedByTabsAndMayBeEmpty() throws IOException {
        MessageReader message = read("TYPE\tone\t\tlast");
        assertEquals("TYPE", message.type());
        assertEquals(4, message.size());
        assertEquals("one", message.text(1, "field"));
        assertEquals("", message.raw(2));
        assertEquals("last", message.text(3, "field"));
    }

    @Test
    void emptyLinesBetweenBatchesAreSkippedAndCounted() throws IOException {
        MessageReader message = reader("\n\nTYPE\n");
        assertTrue(message.readNonEmpty());
        assertEquals("line 3, field f: wrong", message.malformed("f", "wrong").getMessage());
        assertFalse(message.readNonEmpty());
    }

    @Test
    void inputThatEndsInsideSomethingIsAnError() {
        assertEquals(
                "line 1, field items: the input ends inside a list",
                error(() -> reader("").readWithin("list", "items")));
    }

    @Test
    void numbersAreReadAndAbsentOnesAreZero() throws IOException {
        MessageReader message = read("T\t-12\t1.5\t-");
        assertEquals(-12, message.integer(1, "i"));
        assertEquals(1.5, message.number(2, "n"));
        assertEquals(0, message.integerOrZero(3, "i"));
        assertEquals(0, message.numberOrZero(3, "n"));
        assertEquals(0, message.numberOrZero(4, "n"), "beyond the line");
    }

    @Test
    void wrongNumbersAreErrorsOfTheirField() throws IOException {
        MessageReader message = read("T\t1.5\tNaN\tx");
        assertEquals("line 1, field i: whole number expected, found '1.5'", error(() -> message.integer(1, "i")));
        assertEquals("line 1, field n: number expected, found 'NaN'", error(() -> message.number(2, "n")));
        assertEquals("line 1, field n: number expected, found 'x'", error(() -> message.numberOrZero(3, "n")));
        assertEquals("line 1, field n: missing", error(() -> message.number(4, "n")));
    }

    @Test
    void flagIsOneOrZeroOrAbsent() throws IOException {
        MessageReader message = read("T\t1\t0\t-\tyes");
        assertTrue(message.flag(1, "f"));
        assertFalse(message.flag(2, "f"));
        assertFalse(message.flag(3, "f"));
        assertEquals("line 1, field f: 1 or 0 expected, found 'yes'", error(() -> message.flag(4, "f")));
    }

    @Test
    void listOfNumbersHasNaNForAbsentOnes() throws IOException {
        MessageReader message = read("T\t1,-,2.5\t-\t\t1,x");
        assertArrayEquals(new double[] {1, Double.NaN, 2.5}, message.numbers(1, "l"));
        assertEquals(0, message.numbers(2, "l").length);
        assertEquals(0, message.numbers(3, "l").length);
        assertEquals(0, message.numbers(9, "l").length);
        assertEquals("line 1, field l: number expected, found 'x'", error(() -> message.numbers(4, "l")));
    }

    @Test
    void longValuesAreShortenedInErrors() {
        assertEquals("'" + "x".repeat(40) + "...'", MessageReader.quoted("x".repeat(41)));
        assertEquals("'" + "x".repeat(40) + "'", MessageReader.quoted("x".repeat(40)));
    }
}
