package io.cuminvalve.wire.internal;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * A queue of outgoing frames to one peer, bounded in number and bytes.
 *
 * <p>When it is full, the oldest replaceable frame is dropped, or the oldest frame if none is
 * replaceable. Thread-safe.
 *
 * @since 0.1
 */
public final class OutboundQueue {

  /** The maximum number of queued bytes. */
  public static final long MAX_BYTES = 4L * FrameDecoder.MAX_FRAME_BYTES;

  private final int capacity;
  private final ArrayDeque<Entry> entries = new ArrayDeque<>();
  private long bytes;
  private long droppedCount;

  /**
   * Creates an empty queue.
   *
   * @param capacity the maximum number of queued frames; at least 1
   */
  public OutboundQueue(int capacity) {
    this.capacity = capacity;
  }

  /**
   * Adds a frame, and drops frames while the queue exceeds its bounds.
   *
   * @param frame the frame; not null
   * @param replaceable whether a newer frame of the same kind supersedes it, as for heartbeats
   */
  public synchronized void add(byte[] frame, boolean replaceable) {
    entries.addLast(new Entry(frame, replaceable));
    bytes += frame.length;
    while (entries.size() > capacity || (bytes > MAX_BYTES && entries.size() > 1)) {
      dropOne();
    }
  }

  /**
   * Removes and returns the oldest frame.
   *
   * @return the frame, or null if the queue is empty
   */
  public synchronized ByteBuffer poll() {
    Entry first = entries.pollFirst();
    if (first == null) {
      return null;
    }
    bytes -= first.frame().length;
    return ByteBuffer.wrap(first.frame());
  }

  /** Drops all frames. */
  public synchronized void clear() {
    droppedCount += entries.size();
    entries.clear();
    bytes = 0;
  }

  /**
   * Returns the number of queued frames.
   *
   * @return at most the capacity
   */
  public synchronized int size() {
    return entries.size();
  }

  /**
   * Returns the number of frames dropped so far.
   *
   * @return the count
   */
  public synchronized long droppedCount() {
    return droppedCount;
  }

  private void dropOne() {
    Iterator<Entry> oldestFirst = entries.iterator();
    while (oldestFirst.hasNext()) {
      Entry entry = oldestFirst.next();
      if (entry.replaceable()) {
        oldestFirst.remove();
        countDrop(entry);
        return;
      }
    }
    countDrop(entries.removeFirst());
  }

  private void countDrop(Entry entry) {
    bytes -= entry.frame().length;
    droppedCount++;
  }

  /** A queued frame. */
  private record Entry(byte[] frame, boolean replaceable) {}
}
