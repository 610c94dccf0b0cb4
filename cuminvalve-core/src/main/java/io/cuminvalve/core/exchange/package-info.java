/**
 * One request, from its head to its one final answer: decisions only.
 *
 * <p>Events in, effects out. The program, the replay of traces and the tests drive the same code.
 */
package io.cuminvalve.core.exchange;
