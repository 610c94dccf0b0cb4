/**
 * The last check before the first byte of a request or an order leaves for a target: what has to
 * hold, and how old the knowledge of it may be.
 */
package io.cuminvalve.core.send;
