/** Ports to the platform and their HTTP clients: store, host list, registry, targets. */
package io.cuminvalve.ports;
