/** Limits that targets name for all gateways together, and the parts of them that gateways get. */
package io.cuminvalve.core.quota;
