/** What targets executed and under which grants, and the violations that follow from it. */
package io.cuminvalve.testkit.ledger;
