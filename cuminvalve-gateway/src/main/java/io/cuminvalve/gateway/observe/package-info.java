/** Log lines for decisions, bounded in volume. */
package io.cuminvalve.gateway.observe;
