/** Rate limits that targets set for all gateways together, and their division among gateways. */
package io.cuminvalve.core.quota;
