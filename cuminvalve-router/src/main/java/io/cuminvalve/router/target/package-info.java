/**
 * Requests to targets: pooled connections, one attempt at a time, and what attempts teach about a
 * target's clock and incarnation.
 *
 * @since 0.1
 */
package io.cuminvalve.router.target;
