/** The router process: callers in, targets out. */
package io.cuminvalve.router;
