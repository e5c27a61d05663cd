package quotagateway.client;

import quotagateway.transport.EventLoopContext;

/**
 * What all connections of one listener share.
 *
 * @param loop the event loop that they run on
 * @param requests whom their commands go to
 * @param connections the table that they are in while they are open
 * @param readAheadBudget what they may read ahead together
 * @param onConnectionClosed run when one of them has ended, after its requests have heard of that
 */
record ListenerContext(
        EventLoopContext loop,
        ClientRequestHandler requests,
        ConnectionTable connections,
        ReadAheadBudget readAheadBudget,
        Runnable onConnectionClosed) {}
