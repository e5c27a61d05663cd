/** Selection of an endpoint for an attempt, and evaluation of the attempt's outcome. */
package quotagateway.policy.routing;
