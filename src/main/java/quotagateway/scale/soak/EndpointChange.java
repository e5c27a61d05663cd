package quotagateway.scale.soak;

/** From when until when (ms of the run) discovery told that a server wants nothing new. */
record EndpointChange(int endpoint, double from, double until) {}
