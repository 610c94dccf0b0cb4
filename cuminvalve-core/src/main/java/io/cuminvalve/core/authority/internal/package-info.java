/** The parts of the authority protocol; not for use outside of the core module. */
package io.cuminvalve.core.authority.internal;
