/** Matches requests against the rules of the configuration and extracts their keys. */
package io.cuminvalve.core.routing;
