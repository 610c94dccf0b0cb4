/**
 * At-most-once execution of operations that are not idempotent: a quorum of routers stores which
 * request claimed an idempotency key and how the operation ended.
 */
package io.cuminvalve.core.intent;
