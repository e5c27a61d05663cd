/** Averages in which old samples lose their weight. */
package quotagateway.policy.statistics;
