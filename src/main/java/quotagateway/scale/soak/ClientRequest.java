package quotagateway.scale.soak;

import quotagateway.policy.api.RequestClass;

/** One request as its client saw it; times are milliseconds of the run, infinite until they come. */
final class ClientRequest {
    /** How it ended for its client. */
    enum End {
        /** Still waited for. */
        OPEN,
        SERVED,
        REFUSED,
        FAILED,
        /** Served with a value that no endpoint made for this request. */
        WRONG_VALUE,
        /** The node closed or reset the connection before the response was complete. */
        CONNECTION_ENDED,
        /** The client closed its connection while it waited. */
        CLIENT_LEFT,
        /** No response came until long after its timeout. */
        NO_ANSWER,
        /** It was never written completely, as its connection ended first. */
        NOT_SENT
    }

    final String id;
    final int node;
    /** Which of the node's processes had been started last when it was sent. */
    final int process;

    final RequestClass requestClass;
    final double clientTimeout;
    /** When its last byte was written. */
    double sentAt = Double.POSITIVE_INFINITY;

    double endedAt = Double.POSITIVE_INFINITY;
    /** When the responses to all earlier requests of its connection had come. */
    double firstInLineAt;

    End end = End.OPEN;
    /** The response, or how the connection ended. */
    String response = "";

    ClientRequest(String id, int node, int process, RequestClass type, double patience) {
        this.id = id;
        this.node = node;
        this.process = process;
        this.requestClass = type;
        this.clientTimeout = patience;
    }

    boolean isAnswered() {
        return end == End.SERVED || end == End.REFUSED || end == End.FAILED || end == End.WRONG_VALUE;
    }

    /** By then its client stops waiting. */
    double deadline() {
        return sentAt + clientTimeout;
    }

    @Override
    public String toString() {
        return String.format(
                "id %s %s (%s) to n%d sent %.0f waits %.0f, %s at %.0f %s",
                id,
                requestClass.name(),
                requestClass.idempotency(),
                node,
                sentAt,
                clientTimeout,
                end,
                endedAt,
                response);
    }
}
