package io.cuminvalve.router.caller;

import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;

/**
 * Hands a caller's body to a target chunk by chunk: the next chunk is read from the caller only
 * once the target's connection took the last one.
 */
final class StreamedBody implements Request.Content {

  private final org.eclipse.jetty.server.Request caller;
  private final Runnable onConsumed;
  private final Runnable onEnded;
  private final AtomicReference<Content.Chunk> failure = new AtomicReference<>();
  private volatile boolean consumed;
  private volatile boolean ended;

  /**
   * Creates the body of one attempt.
   *
   * @param caller the request as received; not null
   * @param onConsumed called once, when the first part is taken; not null
   * @param onEnded called once, when the last part is taken; not null
   */
  StreamedBody(org.eclipse.jetty.server.Request caller, Runnable onConsumed, Runnable onEnded) {
    this.caller = caller;
    this.onConsumed = onConsumed;
    this.onEnded = onEnded;
  }

  /** Tells whether the whole body was taken. */
  boolean isEnded() {
    return ended;
  }

  @Override
  public String getContentType() {
    return caller.getHeaders().get(HttpHeader.CONTENT_TYPE);
  }

  @Override
  public long getLength() {
    return caller.getLength();
  }

  @Override
  public Content.Chunk read() {
    Content.Chunk failed = failure.get();
    if (failed != null) {
      return failed;
    }
    Content.Chunk chunk = caller.read();
    if (chunk == null) {
      return null;
    }
    if (!consumed && chunk.hasRemaining()) {
      consumed = true;
      onConsumed.run();
    }
    if (!ended && chunk.isLast() && !Content.Chunk.isFailure(chunk)) {
      ended = true;
      onEnded.run();
    }
    return chunk;
  }

  @Override
  public void demand(Runnable onReady) {
    caller.demand(onReady);
  }

  @Override
  public void fail(Throwable cause) {
    // Not passed on to the caller's request, which still has to be answered.
    failure.compareAndSet(null, Content.Chunk.from(cause, true));
  }

  @Override
  public boolean rewind() {
    return false;
  }
}
