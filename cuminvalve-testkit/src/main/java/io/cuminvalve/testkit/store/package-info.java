/** A stand-in for the platform's key-value service. */
package io.cuminvalve.testkit.store;
