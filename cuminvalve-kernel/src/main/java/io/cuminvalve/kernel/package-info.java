/** Service registry and lifecycle, monotonic clocks, executors and error codes. */
package io.cuminvalve.kernel;
