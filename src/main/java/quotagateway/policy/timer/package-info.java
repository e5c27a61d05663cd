/** The policy's clock, its timers and the schedule of the re-splits. */
package quotagateway.policy.timer;
