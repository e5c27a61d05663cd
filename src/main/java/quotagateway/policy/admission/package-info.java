/**
 * Admission of requests, from arrival to the last attempt: queues, the order in which customers are served, and sending
 * of attempts.
 */
package quotagateway.policy.admission;
