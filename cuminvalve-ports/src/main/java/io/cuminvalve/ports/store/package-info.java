/** The platform's key-value service, behind a port. */
package io.cuminvalve.ports.store;
