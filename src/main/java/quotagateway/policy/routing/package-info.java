/** The choice of an endpoint for an attempt, and what the end of the attempt teaches. */
package quotagateway.policy.routing;
