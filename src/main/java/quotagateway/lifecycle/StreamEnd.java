package quotagateway.lifecycle;

/**
 * Why a streamed response ended. The names are fixed, as they are labels of the metrics (in lower case) and appear in
 * the event log.
 */
public enum StreamEnd {
    /** All of it has been handed to the system. */
    COMPLETE,
    /** The endpoint's connection ended, or what came on it could not be read. */
    ENDPOINT_CLOSED,
    /** The endpoint sent nothing for too long, while its connection was read. */
    ENDPOINT_SILENT,
    /** The client's connection ended first. */
    CLIENT_GONE
}
