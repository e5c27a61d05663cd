/** Measurement of the requests received and the attempts sent, and the limit on the rate of sends. */
package quotagateway.policy.traffic;
