/**
 * Decision logic for one request, from its head to its single final answer.
 *
 * <p>The state machine takes events and returns effects without performing I/O. The server, trace
 * replay and tests share the same code.
 */
package io.cuminvalve.core.exchange;
