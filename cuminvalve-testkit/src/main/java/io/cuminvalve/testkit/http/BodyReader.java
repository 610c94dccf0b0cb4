package io.cuminvalve.testkit.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;

/** Reads a request's body without blocking, in bounded memory. */
final class BodyReader implements Runnable {

  /** Receives a body once it is complete. */
  @FunctionalInterface
  interface Sink {
    void accept(byte[] start, long length);
  }

  private final Request request;
  private final Callback callback;
  private final Sink sink;
  private final ByteArrayOutputStream kept = new ByteArrayOutputStream();
  private long length;

  BodyReader(Request request, Callback callback, Sink sink) {
    this.request = request;
    this.callback = callback;
    this.sink = sink;
  }

  @Override
  public void run() {
    while (true) {
      Content.Chunk chunk = request.read();
      if (chunk == null) {
        request.demand(this);
        return;
      }
      if (Content.Chunk.isFailure(chunk)) {
        callback.failed(chunk.getFailure());
        return;
      }
      boolean last = chunk.isLast();
      keep(chunk.getByteBuffer());
      chunk.release();
      if (last) {
        sink.accept(kept.toByteArray(), length);
        return;
      }
    }
  }

  private void keep(ByteBuffer bytes) {
    length += bytes.remaining();
    int wanted = Math.min(bytes.remaining(), HttpStandIn.MAX_KEPT_BODY_BYTES - kept.size());
    byte[] copy = new byte[Math.max(0, wanted)];
    bytes.get(copy);
    kept.writeBytes(copy);
  }
}
