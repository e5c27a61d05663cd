/**
 * The decision module of a gateway: {@link quotagateway.policy.Policy} wires up the modules of the subpackages, which
 * do not depend on sockets, threads or the system clock. Imports run in one direction only, from the last of these
 * layers to the first: api; hash, statistics and timer; traffic and health; slowstart; endpoint; retry and routing;
 * quota; admission.
 */
package quotagateway.policy;
