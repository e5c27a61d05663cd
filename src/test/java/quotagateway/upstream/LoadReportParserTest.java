package quotagateway.upstream;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class LoadReportParserTest {
    private final LoadReportParser parser = new LoadReportParser(List.of("utilization", "outstanding", "custom"));

    @Test
    void valuesComeInTheOrderOfTheFieldsByEitherName() {
        assertArrayEquals(new double[] {0.5, 7, 1}, parser.parse("custom=1,inflight=7,util=0.5"));
        assertArrayEquals(new double[] {0.5, 7, 1}, parser.parse("outstanding=7,utilization=0.5,custom=1"));
    }

    @Test
    void absentAndMalformedValuesAreNotANumber() {
        assertArrayEquals(
                new double[] {Double.NaN, Double.NaN, 0}, parser.parse("util=high,unknown=3,=4,custom=-2,queue"));
    }

    @Test
    void thereAreNoValuesWithoutAReportOrFields() {
        assertArrayEquals(new double[0], parser.parse(null));
        assertArrayEquals(new double[0], new LoadReportParser(List.of()).parse("util=0.5"));
    }
}
