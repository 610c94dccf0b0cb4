package io.cuminvalve.router.caller;

import io.cuminvalve.kernel.UpperTime;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Knows after which moment the bytes of a message can have arrived on a connection.
 *
 * <p>A process that is slow reads a message long after it has arrived, and nothing tells it when
 * that was. The last moment at which the connection was seen empty before the message was read is a
 * bound that never counts too little. Not safe for use by several threads.
 */
final class ArrivalBounds {

  /** A head that comes in more pieces counts from the oldest piece that is remembered. */
  private static final int MOST_READS = 64;

  private final Deque<BytesRead> reads = new ArrayDeque<>();
  private UpperTime empty;

  /**
   * Creates the bounds of a connection of which nothing has been read.
   *
   * @param empty a moment at which it held no byte; not null
   */
  ArrivalBounds(UpperTime empty) {
    this.empty = empty;
  }

  /** The connection held no byte at a moment. */
  void onEmpty(UpperTime at) {
    empty = empty.latest(at);
  }

  /** Returns the last moment at which the connection is known to have held no byte. */
  UpperTime empty() {
    return empty;
  }

  /**
   * Bytes were read.
   *
   * @param atNs a reading of the nanosecond clock from before that
   */
  void onBytes(long atNs) {
    reads.addLast(new BytesRead(atNs, empty));
    if (reads.size() > MOST_READS) {
      reads.removeFirst();
    }
  }

  /**
   * Returns a moment before which no byte of a message had arrived. Forgets earlier messages.
   *
   * @param firstByteNs when its first byte was parsed; a reading of the nanosecond clock
   * @return never null
   */
  UpperTime arrivedAfter(long firstByteNs) {
    BytesRead found = reads.peekFirst();
    while (reads.size() > 1 && isNextBy(firstByteNs)) {
      found = reads.peekFirst();
    }
    return found == null ? empty : found.emptyBefore;
  }

  private boolean isNextBy(long firstByteNs) {
    BytesRead first = reads.removeFirst();
    boolean isBy = reads.getFirst().atNs - firstByteNs <= 0;
    if (!isBy) {
      reads.addFirst(first);
    }
    return isBy;
  }

  /** One read that returned bytes. */
  private record BytesRead(long atNs, UpperTime emptyBefore) {}
}
