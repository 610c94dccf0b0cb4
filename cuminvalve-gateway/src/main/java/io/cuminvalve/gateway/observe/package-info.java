/** The rate-limited decision log and the metrics of a gateway. */
package io.cuminvalve.gateway.observe;
