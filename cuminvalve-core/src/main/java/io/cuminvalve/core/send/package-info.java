/**
 * The final check of preconditions, and of the age of their known status, before the first byte of
 * a request or an order is sent to a target.
 */
package io.cuminvalve.core.send;
