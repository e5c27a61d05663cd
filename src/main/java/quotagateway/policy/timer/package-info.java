/** The policy's clock, its timers and the times of the re-split. */
package quotagateway.policy.timer;
