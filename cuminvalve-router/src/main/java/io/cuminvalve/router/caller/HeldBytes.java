package io.cuminvalve.router.caller;

import java.nio.ByteBuffer;
import java.util.function.Function;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Bytes of next requests that have been read from a connection and not taken; the buffer grows up
 * to a bound. Not safe for use by several threads.
 */
final class HeldBytes {

  private static final int FIRST_HELD_BYTES = 1024;

  /** Bytes of next requests that are read ahead, to find the end of the stream behind them. */
  private static final int MAX_HELD_BYTES = 64 * 1024;

  private ByteBuffer held = BufferUtil.allocate(FIRST_HELD_BYTES);

  /** Returns the buffer to read into, in flush mode; it changes with {@link #makeRoom}. */
  ByteBuffer buffer() {
    return held;
  }

  boolean isEmpty() {
    return !BufferUtil.hasContent(held);
  }

  /** Makes room in an empty buffer for a read of this many bytes, within its bound. */
  void makeRoom(int bytes) {
    int wanted = Math.min(bytes, MAX_HELD_BYTES);
    if (isEmpty() && held.capacity() < wanted) {
      held = BufferUtil.allocate(wanted);
    }
  }

  /** Tells whether more may be held; the buffer grows up to its bound. */
  boolean makeRoom() {
    if (!hasRoom(held) && held.capacity() < MAX_HELD_BYTES) {
      ByteBuffer larger = BufferUtil.allocate(2 * held.capacity());
      BufferUtil.append(larger, held);
      held = larger;
    }
    return hasRoom(held);
  }

  /** Lets bytes be taken from the front of the buffer. */
  <T> T take(Function<ByteBuffer, T> taker) {
    T taken = taker.apply(held);
    if (!isEmpty()) {
      BufferUtil.compact(held);
    } else if (held.capacity() > FIRST_HELD_BYTES) {
      held = BufferUtil.allocate(FIRST_HELD_BYTES);
    }
    return taken;
  }

  void clear() {
    held = BufferUtil.allocate(FIRST_HELD_BYTES);
  }

  static boolean hasRoom(ByteBuffer buffer) {
    return !BufferUtil.hasContent(buffer) || BufferUtil.space(buffer) > 0;
  }
}
