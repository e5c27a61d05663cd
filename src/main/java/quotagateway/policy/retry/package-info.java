/** Which requests may be sent again, where and until when. */
package quotagateway.policy.retry;
