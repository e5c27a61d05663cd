package quotagateway.admin;

import quotagateway.transport.DirectMemory;

/** Renders what the buffers of all connections hold, against its limit, for Prometheus. */
public final class MemoryMetrics {
    private final DirectMemory memory;

    public MemoryMetrics(DirectMemory memory) {
        this.memory = memory;
    }

    /** Renders the gauges as they are now. */
    public String render() {
        PrometheusText text = new PrometheusText();
        text.singleSample(
                "direct_memory_in_use_bytes", "gauge", "Direct memory that buffers hold.", memory.inUseBytes());
        text.singleSample(
                "direct_memory_reserved_bytes",
                "gauge",
                "Direct memory that the pool of buffers has reserved.",
                memory.reservedBytes());
        text.singleSample(
                "direct_memory_limit_bytes", "gauge", "The most that the pool may reserve.", memory.limitBytes());
        return text.toString();
    }
}
