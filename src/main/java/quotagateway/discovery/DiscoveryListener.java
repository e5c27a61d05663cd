package quotagateway.discovery;

import io.netty.util.concurrent.Future;
import java.util.List;
import quotagateway.log.NodeEvent;
import quotagateway.policy.api.EndpointDescriptor;

/** What the list's reader has of its node: clock (ms) and timers of one thread, and who is to be told. */
public interface DiscoveryListener {
    double now();

    Future<?> after(double delay, Runnable what);

    /** Changes or a part of a list, or a whole list of few servers. */
    void listed(List<EndpointDescriptor> list, boolean whole);

    /** From here on come parts of a whole list; one that is begun and not ended drops nothing. */
    void listBegins();

    /** What the parts since have not named is gone. */
    void listEnds();

    void discoveryFailed();

    void flush();

    void log(String where, Throwable what);

    /** Once, for the operators. */
    void say(String what);

    /** For the event log. */
    default void event(NodeEvent event) {}
}
