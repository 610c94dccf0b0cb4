/**
 * Requests of callers: the HTTP server, the life of each request, and what its caller sees.
 *
 * @since 0.1
 */
package io.cuminvalve.router.caller;
