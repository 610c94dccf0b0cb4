/** The HTTP client shared by all clients of the platform. */
package io.cuminvalve.ports.http;
