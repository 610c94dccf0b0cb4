/** Port to the platform's key-value store, and its HTTP client. */
package io.cuminvalve.ports.store;
