/** What the attempts at one endpoint teach: how slow it is, how often it fails, how much it bears. */
package quotagateway.policy.health;
