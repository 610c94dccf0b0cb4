/** Checks of inventory, rules and settings: every fault at once, with its path and a hint. */
package io.cuminvalve.config.check;
