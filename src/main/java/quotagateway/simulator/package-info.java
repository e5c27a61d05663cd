/** Hosts policies for a simulator, over its text wire on standard input and output. */
package quotagateway.simulator;
