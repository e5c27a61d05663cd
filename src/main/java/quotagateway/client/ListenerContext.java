package quotagateway.client;

import quotagateway.transport.EventLoopContext;

/**
 * State that all connections of one listener share.
 *
 * @param loop the event loop that the connections run on
 * @param requestHandler the handler of their commands
 * @param connections the table of the open connections
 * @param readAheadBudget the shared budget of bytes that are read ahead
 * @param onConnectionClosed run when a connection has ended, after its requests have been notified
 */
record ListenerContext(
        EventLoopContext loop,
        ClientRequestHandler requestHandler,
        ConnectionTable connections,
        ReadAheadBudget readAheadBudget,
        Runnable onConnectionClosed) {}
