/** Balances key ranges over targets by the measured load of each key. */
package io.cuminvalve.core.balance;
