package io.cuminvalve.router.target;

import org.eclipse.jetty.io.Content;

/** A body that reports each part of it that is read. */
final class ProgressReportingSource implements Content.Source {

  private final Content.Source body;
  private final Runnable onProgress;

  /**
   * Creates a body.
   *
   * @param body where the parts come from; not null
   * @param onProgress called before a part that is not empty is returned; not null
   */
  ProgressReportingSource(Content.Source body, Runnable onProgress) {
    this.body = body;
    this.onProgress = onProgress;
  }

  @Override
  public long getLength() {
    return body.getLength();
  }

  @Override
  public Content.Chunk read() {
    Content.Chunk chunk = body.read();
    if (chunk != null && chunk.hasRemaining()) {
      onProgress.run();
    }
    return chunk;
  }

  @Override
  public void demand(Runnable demandCallback) {
    body.demand(demandCallback);
  }

  @Override
  public void fail(Throwable failure) {
    body.fail(failure);
  }

  @Override
  public void fail(Throwable failure, boolean last) {
    body.fail(failure, last);
  }

  @Override
  public boolean rewind() {
    return body.rewind();
  }
}
