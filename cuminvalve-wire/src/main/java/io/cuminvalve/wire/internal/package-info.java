/** Codecs, framing and connections; not for use outside the wire module. */
package io.cuminvalve.wire.internal;
