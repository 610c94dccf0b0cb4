/**
 * The ports through which a request gets a slot of its target and a claim of its idempotency key.
 *
 * @since 0.1
 */
package io.cuminvalve.router.request;
