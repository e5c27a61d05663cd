/**
 * How many units and open requests of a customer this gateway may let pass: leased from the counter that all gateways
 * share, or by its own share of the rate where there is none. It knows requests only as units and times.
 */
package quotagateway.policy.quota;
