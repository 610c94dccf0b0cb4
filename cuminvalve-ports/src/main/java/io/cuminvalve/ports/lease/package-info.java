/** Port to the leases that targets hold. */
package io.cuminvalve.ports.lease;
