/**
 * Decides how many units and open requests of a customer this gateway may admit: by leases from the counter that all
 * gateways share, or by this gateway's share of the rate where there is no counter. The package knows requests only as
 * units and times.
 */
package quotagateway.policy.quota;
