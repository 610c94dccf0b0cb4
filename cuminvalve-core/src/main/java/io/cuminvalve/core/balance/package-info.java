/** Balances key ranges over targets by the work that each key causes. */
package io.cuminvalve.core.balance;
