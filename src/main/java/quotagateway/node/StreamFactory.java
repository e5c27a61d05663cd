package quotagateway.node;

import java.util.HashMap;
import java.util.Map;
import quotagateway.config.GatewayConfig;
import quotagateway.policy.api.RequestClass;
import quotagateway.streaming.GatherLimits;
import quotagateway.streaming.ResponseSource;
import quotagateway.streaming.StreamedResponse;
import quotagateway.transport.DirectMemory;
import quotagateway.transport.EventLoopContext;

/** Creates streamed responses with the limits that follow from the settings and from their requests. */
final class StreamFactory {
    /**
     * The least time (ms) without a byte of a streamed response after which its endpoint is taken for gone. Otherwise
     * that is the time for which endpoints keep an idle connection: one that has vanished says nothing.
     */
    private static final double MIN_SILENCE_TIMEOUT_MS = 5000;

    /** Fraction of a latency objective for which a value is gathered alone: a first byte within it earns as much. */
    private static final double GATHER_ALONE_FRACTION = 0.5;

    private final EventLoopContext loop;
    private final DirectMemory memory;
    private final double silenceTimeoutMs;
    private final Map<String, Double> latencyObjectivesMs = new HashMap<>();

    StreamFactory(EventLoopContext loop, GatewayConfig config, DirectMemory memory) {
        this.loop = loop;
        this.memory = memory;
        silenceTimeoutMs = Math.max(MIN_SILENCE_TIMEOUT_MS, config.keepAliveMs());
        for (RequestClass requestClass : config.settings().requestClasses()) {
            latencyObjectivesMs.put(requestClass.name(), requestClass.latencyObjective());
        }
    }

    /**
     * Creates the response of a request, whose deadline and latency objective bound how long it is gathered: the time
     * of a large value is that of its first byte. The wait for earlier responses on the connection does not count.
     *
     * @param length of the value (bytes)
     * @param latestBeginAtMs when the first byte has to be written at the latest (ms of the loop's clock)
     */
    StreamedResponse create(
            ActiveRequest request,
            int length,
            ResponseSource source,
            double latestBeginAtMs,
            StreamedResponse.EndListener listener) {
        double elapsedMs = request.deadline().elapsedMs();
        double objectiveMs = latencyObjectivesMs.getOrDefault(request.command().requestClass(), 0.0);
        double aloneMs = Math.max(0, objectiveMs * GATHER_ALONE_FRACTION - elapsedMs);
        double withCommandsBehindMs = Math.max(0, request.deadline().remainingMs());
        GatherLimits limits = new GatherLimits(
                memory::hasRoomToGather,
                Math.min(aloneMs, withCommandsBehindMs),
                withCommandsBehindMs,
                latestBeginAtMs);
        return new StreamedResponse(loop, source, request.slot(), length, limits, silenceTimeoutMs, listener);
    }
}
