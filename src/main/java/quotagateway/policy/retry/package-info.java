/** Rules for retries: which requests may be retried, at which endpoints and until when. */
package quotagateway.policy.retry;
