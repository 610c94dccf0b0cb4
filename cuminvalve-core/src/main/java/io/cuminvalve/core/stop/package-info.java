/** Decision logic for a graceful stop: which requests are still taken, and until when. */
package io.cuminvalve.core.stop;
