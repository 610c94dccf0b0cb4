/** Clients of the platform: store, host list, targets. */
package io.cuminvalve.ports;
