package io.cuminvalve.gateway.traffic;

import java.nio.ByteBuffer;
import java.util.List;

/**
 * A complete body in memory, in parts. Its memory belongs to the budget until it is released.
 *
 * <p>Parts are never joined, which would take the memory twice; each is small enough to be written
 * without a large copy outside the heap.
 */
final class BufferedBody {

  /** A body without content. */
  static final BufferedBody EMPTY = new BufferedBody(List.of(), 0, () -> {});

  private final List<byte[]> parts;
  private final int length;
  private final Runnable onRelease;

  /**
   * Creates a body.
   *
   * @param parts its content in order; not null
   * @param length its length; bytes
   * @param onRelease returns its memory to the budget, at the first of several calls; not null
   */
  BufferedBody(List<byte[]> parts, int length, Runnable onRelease) {
    this.parts = List.copyOf(parts);
    this.length = length;
    this.onRelease = onRelease;
  }

  /** Returns the length in bytes. */
  int length() {
    return length;
  }

  /** Returns the content in order; not to be changed. */
  List<byte[]> parts() {
    return parts;
  }

  /** Returns the content as new read-only views. */
  List<ByteBuffer> views() {
    return parts.stream().map(part -> ByteBuffer.wrap(part).asReadOnlyBuffer()).toList();
  }

  /** Returns the memory to the budget. Idempotent. */
  void release() {
    onRelease.run();
  }
}
