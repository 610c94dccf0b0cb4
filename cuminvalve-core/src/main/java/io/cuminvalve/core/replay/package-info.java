/** Runs recorded traces against the decisions of the request path in virtual time. */
package io.cuminvalve.core.replay;
