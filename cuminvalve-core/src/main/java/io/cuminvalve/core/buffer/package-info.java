/** The memory for bodies of requests and responses that are buffered, and its division. */
package io.cuminvalve.core.buffer;
