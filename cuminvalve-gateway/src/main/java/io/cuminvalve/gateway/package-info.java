/**
 * The gateway: router and standby controller in one process.
 *
 * <p>It serves targets that register themselves and hold leases of their keys. One gateway of the
 * fleet holds the term and grants the leases; all of them route requests.
 */
package io.cuminvalve.gateway;
