/** The listed endpoints, the subset of them that this gateway uses, and the state that it keeps for each. */
package quotagateway.policy.endpoint;
