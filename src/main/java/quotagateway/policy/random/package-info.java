/** The source of all chance in the policy. */
package quotagateway.policy.random;
