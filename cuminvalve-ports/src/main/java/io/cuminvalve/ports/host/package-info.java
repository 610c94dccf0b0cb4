/** Port to the platform's list of live and leaving hosts, and its HTTP client. */
package io.cuminvalve.ports.host;
