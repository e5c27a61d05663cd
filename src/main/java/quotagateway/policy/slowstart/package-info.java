/**
 * Slow start of endpoints whose process has just started: their ramp, and this gateway's share of the load that they
 * can handle.
 */
package quotagateway.policy.slowstart;
