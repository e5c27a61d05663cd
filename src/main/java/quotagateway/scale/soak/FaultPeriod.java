package quotagateway.scale.soak;

/** From when until when (ms of the run) a fault lasted. */
record FaultPeriod(double from, double until) {}
