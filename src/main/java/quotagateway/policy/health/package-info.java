/** Estimates from the attempts at an endpoint: its slowness, its failures and how many attempts it can handle. */
package quotagateway.policy.health;
