/**
 * Puts the parts of a router together with Dagger. The generated code is committed under {@code
 * src/internal/generated}; the profile {@code generate} refreshes it.
 *
 * @since 0.1
 */
package io.cuminvalve.router.wiring;
