/** Stand-ins for the platform and the targets, with fault switches; for tests and trials only. */
package io.cuminvalve.testkit;
