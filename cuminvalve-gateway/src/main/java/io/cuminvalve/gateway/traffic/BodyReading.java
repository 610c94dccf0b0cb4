package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.buffer.BufferBudget.Grant;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import org.eclipse.jetty.io.Content;

/**
 * Copies one body from its source into parts, taking memory for each part before it is allocated.
 *
 * <p>The chunks of the source are not kept: many small ones would hold far more memory than their
 * bytes. Only one thread at a time runs it, as the source demands.
 */
final class BodyReading implements Runnable {

  /** Takes memory for a body. */
  @FunctionalInterface
  interface Budget {

    /**
     * Takes memory.
     *
     * @param heldBytes what the body holds already; bytes
     * @param moreBytes what it needs in addition; bytes
     */
    Grant take(long heldBytes, long moreBytes);
  }

  private static final int FIRST_PART_BYTES = 1024;
  private static final int MAX_PART_BYTES = 64 * 1024;

  private final Content.Source source;
  private final long maxBytes;
  private final Budget budget;
  private final LongConsumer onRelease;
  private final CompletableFuture<BufferedBody> result = new CompletableFuture<>();
  private final List<ByteBuffer> parts = new ArrayList<>();
  private long heldBytes;
  private boolean released;
  private long length;

  BodyReading(Content.Source source, long maxBytes, Budget budget, LongConsumer onRelease) {
    this.source = source;
    this.maxBytes = maxBytes;
    this.budget = budget;
    this.onRelease = onRelease;
  }

  /** Starts to read. Whoever cancels the result ends the reading and releases its memory. */
  CompletableFuture<BufferedBody> start() {
    result.whenComplete(
        (body, failure) -> {
          if (failure != null) {
            release();
          }
        });
    run();
    return result;
  }

  @Override
  public void run() {
    try {
      readAll();
    } catch (Throwable failure) {
      fail(failure);
    }
  }

  private void readAll() {
    while (true) {
      Content.Chunk chunk = source.read();
      if (chunk == null) {
        source.demand(this);
        return;
      }
      if (Content.Chunk.isFailure(chunk)) {
        fail(chunk.getFailure());
        return;
      }
      boolean last = chunk.isLast();
      try {
        append(chunk.getByteBuffer());
      } finally {
        chunk.release();
      }
      if (last) {
        succeed();
        return;
      }
    }
  }

  private void append(ByteBuffer bytes) {
    length += bytes.remaining();
    if (length > maxBytes) {
      throw new BodyRefusedException(Grant.TOO_LARGE);
    }
    while (bytes.hasRemaining()) {
      ByteBuffer part = partWithRoom();
      int count = Math.min(bytes.remaining(), part.remaining());
      part.put(bytes.slice().limit(count));
      bytes.position(bytes.position() + count);
    }
  }

  private ByteBuffer partWithRoom() {
    if (!parts.isEmpty() && parts.get(parts.size() - 1).hasRemaining()) {
      return parts.get(parts.size() - 1);
    }
    int partBytes = (int) Math.min(MAX_PART_BYTES, Math.max(FIRST_PART_BYTES, heldBytes));
    take(partBytes);
    ByteBuffer part = ByteBuffer.allocate(partBytes);
    parts.add(part);
    return part;
  }

  private synchronized void take(int moreBytes) {
    if (released) {
      throw new CancellationException("nobody waits for the body");
    }
    Grant grant = budget.take(heldBytes, moreBytes);
    if (grant != Grant.GRANTED) {
      throw new BodyRefusedException(grant);
    }
    heldBytes += moreBytes;
  }

  private void succeed() {
    List<byte[]> content = new ArrayList<>();
    for (ByteBuffer part : parts) {
      boolean full = !part.hasRemaining();
      content.add(full ? part.array() : Arrays.copyOf(part.array(), part.position()));
    }
    result.complete(new BufferedBody(content, (int) length, this::release));
  }

  private void fail(Throwable failure) {
    parts.clear();
    result.completeExceptionally(failure);
  }

  private synchronized void release() {
    if (!released) {
      released = true;
      onRelease.accept(heldBytes);
    }
  }
}
