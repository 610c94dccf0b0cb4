/** The checks themselves; not part of the public interface. */
package io.cuminvalve.config.check.internal;
