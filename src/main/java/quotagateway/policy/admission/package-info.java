/**
 * Requests from their arrival to their last attempt: queues, the order in which customers are served, and sends.
 */
package quotagateway.policy.admission;
