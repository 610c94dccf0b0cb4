package io.cuminvalve.gateway.observe;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stream that never blocks its writers: a thread of its own passes the bytes on.
 *
 * <p>A reader of the log that stops reading must not stop a request, nor fill the memory. What
 * exceeds the bound is dropped and counted; the count is written once there is room again. Safe for
 * use by several threads.
 *
 * @since 0.2
 */
public final class NonBlockingOutput extends OutputStream {

  private final OutputStream out;
  private final int mostBytes;
  private final ArrayDeque<byte[]> chunks = new ArrayDeque<>();
  private final AtomicLong dropped = new AtomicLong();
  private int bytes;
  private long untold;

  /**
   * Creates a stream and starts its thread.
   *
   * @param out where the bytes go; not null
   * @param mostBytes how many bytes may wait
   */
  public NonBlockingOutput(OutputStream out, int mostBytes) {
    this.out = out;
    this.mostBytes = mostBytes;
    Thread writer = new Thread(this::writeOn, "log-output");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void write(int single) {
    write(new byte[] {(byte) single}, 0, 1);
  }

  @Override
  public synchronized void write(byte[] source, int offset, int length) {
    if (bytes + length > mostBytes) {
      dropped.addAndGet(length);
      untold += length;
      return;
    }
    if (untold > 0) {
      add(("event=log_dropped bytes=" + untold + "\n").getBytes(StandardCharsets.UTF_8));
      untold = 0;
    }
    add(Arrays.copyOfRange(source, offset, offset + length));
    notifyAll();
  }

  private void add(byte[] chunk) {
    chunks.add(chunk);
    bytes += chunk.length;
  }

  /**
   * Returns how many bytes were dropped.
   *
   * @return at least 0
   */
  public long droppedBytes() {
    return dropped.get();
  }

  private void writeOn() {
    try {
      while (true) {
        out.write(take());
        out.flush();
      }
    } catch (InterruptedException | IOException closed) {
      // Nobody reads any more, and there is no other place to say so.
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
   * Waits until everything that was written has been passed on, or for so long.
   *
   * @param limitMs how long; milliseconds
   * @throws InterruptedException if the thread is interrupted
   */
  public void drain(long limitMs) throws InterruptedException {
    long endNs = System.nanoTime() + limitMs * 1_000_000;
    while (hasWaiting() && System.nanoTime() < endNs) {
      Thread.sleep(1);
    }
  }

  private synchronized boolean hasWaiting() {
    return !chunks.isEmpty();
  }
}
