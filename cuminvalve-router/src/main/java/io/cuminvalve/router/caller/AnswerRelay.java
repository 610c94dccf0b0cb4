package io.cuminvalve.router.caller;

import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.verdict.Verdict;
import io.cuminvalve.router.target.TargetAnswer;
import java.nio.ByteBuffer;
import java.util.concurrent.CancellationException;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Copies a target's answer to the caller: the next part is read from the target only once the
 * caller's connection took the last one.
 */
final class AnswerRelay {

  /** Hears how the copy ends; exactly one method is called, once. */
  interface Events {

    /** The whole answer was handed to the caller's connection. */
    void onRelayed();

    /** The answer ended before it was whole. */
    void onTargetFailed(Throwable cause);

    /** The caller's connection takes no more. */
    void onCallerFailed(Throwable cause);
  }

  /** How far the copy has come. */
  private enum Progress {
    UNWRITTEN,
    WRITTEN,
    STOPPED
  }

  private final Response response;
  private final Events events;
  private final AtomicReference<Progress> progress = new AtomicReference<>(Progress.UNWRITTEN);
  private volatile boolean callerFailed;

  AnswerRelay(Response response, Events events) {
    this.response = response;
    this.events = events;
  }

  void start(TargetAnswer answer, RequestId id) {
    response.setStatus(answer.status());
    HttpFields.Mutable headers = response.getHeaders();
    headers.add(CallerHeaders.passedOn(answer.headers()));
    headers.put(CallerHeaders.REQUEST_ID, id.value());
    headers.put(CallerHeaders.VERDICT, Verdict.RAN.name());
    Content.copy(answer.body(), this::write, Callback.from(events::onRelayed, this::onCopyFailed));
  }

  /**
   * Stops the copy. No monitor is held while writing, since a write may go on to read from the
   * target and so run the events of other exchanges.
   *
   * @return true if nothing was written and nothing will be; false if something was, so that only
   *     breaking the caller's connection is left
   */
  boolean stopUnwritten() {
    return progress.getAndSet(Progress.STOPPED) == Progress.UNWRITTEN;
  }

  private void write(boolean last, ByteBuffer part, Callback callback) {
    boolean first = progress.compareAndSet(Progress.UNWRITTEN, Progress.WRITTEN);
    if (!first && progress.get() == Progress.STOPPED) {
      callback.failed(new CancellationException("the answer is no longer wanted"));
      return;
    }
    response.write(
        last, part, Callback.from(callback::succeeded, cause -> onWriteFailed(cause, callback)));
  }

  private void onWriteFailed(Throwable cause, Callback callback) {
    callerFailed = true;
    callback.failed(cause);
  }

  private void onCopyFailed(Throwable cause) {
    if (callerFailed) {
      events.onCallerFailed(cause);
    } else {
      events.onTargetFailed(cause);
    }
  }
}
