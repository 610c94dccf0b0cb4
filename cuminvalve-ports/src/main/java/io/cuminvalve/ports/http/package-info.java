/** The HTTP client that all clients of the platform share. */
package io.cuminvalve.ports.http;
