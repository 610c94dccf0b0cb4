/** Targets that come and go: what is known of each, and what changed. */
package io.cuminvalve.core.fleet;
