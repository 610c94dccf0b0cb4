package io.cuminvalve.router.caller;

import io.cuminvalve.kernel.UpperTime;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Knows after which moment each byte that is held can have arrived.
 *
 * <p>Bytes of a request may be held long after later ones have been read; so the moments belong to
 * places in the stream. Not safe for use by several threads.
 */
final class HeldArrivals {

  /** Beyond that, reads count as one with the next earlier one. */
  private static final int MOST_READS = 64;

  private final Deque<Read> reads = new ArrayDeque<>();
  private long heldToByte;
  private long takenToByte;

  /** Bytes were read. */
  void onHeld(int bytes, UpperTime emptyBefore) {
    heldToByte += bytes;
    if (reads.size() == MOST_READS) {
      Read last = reads.removeLast();
      reads.addLast(new Read(heldToByte, last.emptyBefore));
    } else {
      reads.addLast(new Read(heldToByte, emptyBefore));
    }
  }

  /** Bytes were taken. */
  void onTaken(int bytes) {
    takenToByte += bytes;
    while (!reads.isEmpty() && reads.peekFirst().toByte <= takenToByte) {
      reads.removeFirst();
    }
  }

  /** Returns the moment for the next byte to be taken; {@link UpperTime#NEVER} if none is held. */
  UpperTime ofNext() {
    return reads.isEmpty() ? UpperTime.NEVER : reads.peekFirst().emptyBefore;
  }

  /** One read, up to a byte of the stream. */
  private record Read(long toByte, UpperTime emptyBefore) {}
}
