/**
 * Exclusive ownership of key ranges by leases at the targets.
 *
 * <p>Targets hold leases with fencing tokens and refuse keys that they do not hold. One holder of
 * the term grants, renews and moves them. Nothing here reads a clock or sends anything.
 */
package io.cuminvalve.core.lease;
