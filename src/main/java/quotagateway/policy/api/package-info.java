/** The ports of the decision module and the values that pass through them. */
package quotagateway.policy.api;
