package quotagateway.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;

class LinearFitTest {
    private static List<double[]> points(double... y) {
        return List.of(new double[] {1, y[0]}, new double[] {2, y[1]}, new double[] {3, y[2]}, new double[] {4, y[3]});
    }

    @Test
    void pointsOnALineHaveNoResidual() {
        LinearFit fit = LinearFit.of(points(5, 7, 9, 11));
        assertEquals(2, fit.slope(), 1e-9);
        assertEquals(3, fit.intercept(), 1e-9);
        assertEquals(0, fit.residual(), 1e-9);
    }

    @Test
    void residualIsRootMeanSquareError() {
        LinearFit fit = LinearFit.of(points(1, -1, -1, 1));
        assertEquals(0, fit.slope(), 1e-9);
        assertEquals(1, fit.residual(), 1e-9);
    }

    @Test
    void tooFewPointsOrOneXGiveNoFit() {
        assertNull(LinearFit.of(points(1, 2, 3, 4).subList(0, 3)));
        assertNull(LinearFit.of(java.util.Collections.nCopies(4, new double[] {1, 1})));
    }

    @Test
    void jsonRowHasPointsAndFit() throws Exception {
        Results results = new Results("module --seed 1", "abc");
        points(5, 7, 9, 11).forEach(p -> results.add("m", "x", p[0], p[1], "us"));
        assertEquals(
                "{\"run\":\"module --seed 1\",\"commit\":\"abc\",\"metric\":\"m\",\"x\":\"x\","
                        + "\"points\":[[1,5],[2,7],[3,9],[4,11]],\"fit\":{\"slope\":2,\"intercept\":3,\"residual\":0},"
                        + "\"unit\":\"us\"}\n",
                results.json());
    }
}
