package quotagateway.streaming;

/** When the bytes of a client's connection arrived at this machine. Times are milliseconds of the loop's clock. */
public interface ArrivalTimes {
    /** Returns when the bytes that were passed on last arrived: at this time at the earliest, if it is not known. */
    double receivedAtMs();

    /**
     * Returns the earliest time at which the next byte can have arrived, or will: now, unless input has not been read,
     * or has not been passed on, since an earlier time.
     */
    double nextByteAtMs();
}
