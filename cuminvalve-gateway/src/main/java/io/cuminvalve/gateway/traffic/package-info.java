/** The request path of a gateway: from the caller to a target and back. */
package io.cuminvalve.gateway.traffic;
