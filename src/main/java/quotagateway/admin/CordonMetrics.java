package quotagateway.admin;

/** Renders how many endpoints operators have taken out of use, for Prometheus. */
public final class CordonMetrics {
    private CordonMetrics() {}

    /**
     * Renders the gauge.
     *
     * @param cordonedEndpoints number of cordons that apply to this process
     */
    public static String render(int cordonedEndpoints) {
        PrometheusText text = new PrometheusText();
        text.singleSample(
                "cordoned_endpoints", "gauge", "Place servers that operators have taken out.", cordonedEndpoints);
        return text.toString();
    }
}
