/**
 * The control plane of a gateway: the state of the fleet, and the coordination of the fleet while
 * this gateway holds the term, that is, leads it.
 */
package io.cuminvalve.gateway.control;
