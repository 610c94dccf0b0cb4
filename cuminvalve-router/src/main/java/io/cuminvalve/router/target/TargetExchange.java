package io.cuminvalve.router.target;

import io.cuminvalve.ports.http.CountingEndPoint;
import java.util.concurrent.CancellationException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;

/**
 * One attempt in progress.
 *
 * @since 0.1
 */
public final class TargetExchange {

  private final Request request;
  private final TargetListener listener;
  private final boolean takesUnboundedAnswers;
  private final AtomicBoolean decided = new AtomicBoolean();
  private final Object abortLock = new Object();

  /**
   * Set before the first byte can be written, never after: it may claim too much, never too little.
   */
  private volatile boolean handedOver;

  TargetExchange(Request request, TargetListener listener, boolean takesUnboundedAnswers) {
    this.request = request;
    this.listener = listener;
    this.takesUnboundedAnswers = takesUnboundedAnswers;
  }

  /** Starts the attempt; to be called once. */
  public void start() {
    request.onRequestBegin(this::onRequestBegin);
    request.onResponseContentSource(this::onContentSource);
    request.send(this::onComplete);
  }

  /**
   * Tells whether any byte of the request may have reached a connection.
   *
   * @return false only if none did
   */
  public boolean isHandedOver() {
    return handedOver;
  }

  /**
   * Gives the attempt up. Its connection, if it has one, is closed and never used again.
   *
   * @param reason why; not null
   */
  public void abandon(String reason) {
    abort(new CancellationException(reason));
  }

  /**
   * The library ignores an abort while another one is under way, and may go on sending until that
   * has taken effect: whoever forbids the first byte has to wait for it.
   */
  private void abort(Throwable cause) {
    synchronized (abortLock) {
      request.abort(cause);
    }
  }

  private void onRequestBegin(Request begun) {
    onProgress();
    try {
      handedOver = listener.onConnection((HttpFields.Mutable) begun.getHeaders());
    } catch (Throwable broken) {
      // The library would go on and send it, whatever is thrown here.
      abort(broken);
      throw broken;
    }
    if (!handedOver) {
      abort(new CancellationException("given up before the first byte"));
    }
  }

  private void onContentSource(Response response, Content.Source body) {
    if (!hasRecognisableEnd(response)) {
      fail(new UnboundedAnswerException());
      abort(new UnboundedAnswerException());
      return;
    }
    onProgress();
    if (decided.compareAndSet(false, true)) {
      Content.Source counted = new ProgressReportingSource(body, this::onProgress);
      listener.onAnswer(new TargetAnswer(response.getStatus(), response.getHeaders(), counted));
    }
  }

  private void onProgress() {
    CountingEndPoint.restart(request.getConnection());
  }

  private void onComplete(Result result) {
    if (result.isFailed()) {
      fail(result.getFailure());
    }
    listener.onReleased();
  }

  private void fail(Throwable cause) {
    if (decided.compareAndSet(false, true)) {
      listener.onFailure(handedOver, cause);
    }
  }

  /** An answer that ends with its connection cannot be told from one that was cut. */
  private boolean hasRecognisableEnd(Response response) {
    int status = response.getStatus();
    HttpFields headers = response.getHeaders();
    return takesUnboundedAnswers
        || HttpMethod.HEAD.is(request.getMethod())
        || status == HttpStatus.NO_CONTENT_204
        || status == HttpStatus.NOT_MODIFIED_304
        || headers.contains(HttpHeader.CONTENT_LENGTH)
        || headers.contains(HttpHeader.TRANSFER_ENCODING);
  }
}
