/** Averages that forget. */
package quotagateway.policy.statistics;
