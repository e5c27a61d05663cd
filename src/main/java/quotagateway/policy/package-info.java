/**
 * The decision module of a gateway: {@link quotagateway.policy.Policy} ties together the modules of the packages
 * below it, which know nothing of sockets, threads or clocks. Imports run one way: api, then hash, statistics and
 * timer, then traffic and health, slowstart, endpoint, retry and routing, quota, and at last admission.
 */
package quotagateway.policy;
