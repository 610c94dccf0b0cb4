/** Detection and quarantine of requests that crash targets. */
package io.cuminvalve.core.quarantine;
