/**
 * The state machine of one request: how it handles a failure at each stage, and with which verdict
 * it ends.
 */
package io.cuminvalve.core.request;
