/** Retry budgets and circuit breakers. */
package io.cuminvalve.core.retry;
