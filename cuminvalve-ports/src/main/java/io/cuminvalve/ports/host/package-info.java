/** The platform's list of live and leaving hosts, behind a port. */
package io.cuminvalve.ports.host;
