/**
 * Exclusive ownership of key ranges by leases at the targets.
 *
 * <p>Targets hold leases with fencing tokens and refuse requests for keys that they do not own. The
 * term holder, the elected leader of the gateways, grants, renews and moves the leases by orders to
 * targets. A <em>run</em> of a target is one lifetime of its process; a restarted target is another
 * run under the same name. A <em>foreign</em> lease is one that an earlier term holder granted.
 *
 * <p>The classes of this package neither read a clock nor perform I/O.
 */
package io.cuminvalve.core.lease;
