/** Port to the control interface of targets, and its HTTP client. */
package io.cuminvalve.ports.target;
