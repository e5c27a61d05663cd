/** Which endpoints there are, which of them this gateway uses, and what it knows of each. */
package quotagateway.policy.endpoint;
