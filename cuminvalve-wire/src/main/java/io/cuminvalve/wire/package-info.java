/** Exchanges MessagePack messages in length-prefixed frames between processes of the system. */
package io.cuminvalve.wire;
