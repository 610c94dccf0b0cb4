/** The path of a request: from the caller to a target and back. */
package io.cuminvalve.gateway.traffic;
