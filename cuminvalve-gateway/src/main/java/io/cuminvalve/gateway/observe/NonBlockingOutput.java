package io.cuminvalve.gateway.observe;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLong;

/**
 * An output stream that never blocks its writers, because a separate thread forwards the bytes.
 *
 * <p>A log reader that stops reading must not block requests or exhaust the memory. Bytes beyond
 * the capacity of the buffer are dropped and counted, and the count is written when there is space
 * again. Thread-safe.
 *
 * @since 0.2
 */
public final class NonBlockingOutput extends OutputStream {

  private final OutputStream out;
  private final int maxBufferedBytes;
  private final ArrayDeque<byte[]> chunks = new ArrayDeque<>();
  private final AtomicLong dropped = new AtomicLong();
  private int bytes;
  private long unreportedDrops;

  /**
   * Creates a stream and starts its thread.
   *
   * @param out receives the bytes; not null
   * @param maxBufferedBytes the capacity of the buffer; bytes
   */
  public NonBlockingOutput(OutputStream out, int maxBufferedBytes) {
    this.out = out;
    this.maxBufferedBytes = maxBufferedBytes;
    Thread writer = new Thread(this::forward, "log-output");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void write(int single) {
    write(new byte[] {(byte) single}, 0, 1);
  }

  @Override
  public synchronized void write(byte[] source, int offset, int length) {
    if (bytes + length > maxBufferedBytes) {
      dropped.addAndGet(length);
      unreportedDrops += length;
      return;
    }
    if (unreportedDrops > 0) {
      add(("event=log_dropped bytes=" + unreportedDrops + "\n").getBytes(StandardCharsets.UTF_8));
      unreportedDrops = 0;
    }
    add(Arrays.copyOfRange(source, offset, offset + length));
    notifyAll();
  }

  private void add(byte[] chunk) {
    chunks.add(chunk);
    bytes += chunk.length;
  }

  /**
   * Returns the number of dropped bytes.
   *
   * @return at least 0
   */
  public long droppedBytes() {
    return dropped.get();
  }

  private void forward() {
    try {
      while (true) {
        out.write(take());
        out.flush();
      }
    } catch (InterruptedException | IOException closed) {
      // The log cannot be written any more, so there is nowhere to report the failure.
      Thread.currentThread().interrupt();
    }
  }

  private synchronized byte[] take() throws InterruptedException {
    while (chunks.isEmpty()) {
      wait();
    }
    byte[] chunk = chunks.remove();
    bytes -= chunk.length;
    return chunk;
  }

  /**
   * Waits until the buffer is empty, at most for a given time.
   *
   * @param limitMs the maximum time to wait; milliseconds
   * @throws InterruptedException if the thread is interrupted
   */
  public void drain(long limitMs) throws InterruptedException {
    long endNs = System.nanoTime() + limitMs * 1_000_000;
    while (hasPending() && System.nanoTime() < endNs) {
      Thread.sleep(1);
    }
  }

  private synchronized boolean hasPending() {
    return !chunks.isEmpty();
  }
}
