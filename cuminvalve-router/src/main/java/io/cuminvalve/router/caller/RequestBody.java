package io.cuminvalve.router.caller;

import java.util.function.Supplier;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Request;

/** The body of a caller's request, as each attempt sends it. */
final class RequestBody {

  private final Supplier<Request.Content> contents;
  private final StreamedBody streamed;

  private RequestBody(Supplier<Request.Content> contents, StreamedBody streamed) {
    this.contents = contents;
    this.streamed = streamed;
  }

  /** Returns the body of a request without one. */
  static RequestBody none() {
    return new RequestBody(() -> null, null);
  }

  /** Returns a body that was read whole, so that each attempt can send it. */
  static RequestBody kept(byte[] bytes, String contentType) {
    return new RequestBody(() -> new BytesRequestContent(contentType, bytes), null);
  }

  /** Returns a body that passes through as it is read. */
  static RequestBody streamed(StreamedBody body) {
    return new RequestBody(() -> body, body);
  }

  /** Returns what the next attempt sends; null if there is no body. */
  Request.Content forAttempt() {
    return contents.get();
  }

  /** Tells whether every attempt can send the body, as far as its kind goes. */
  boolean isKept() {
    return streamed == null;
  }

  /** Tells whether nothing is left to read from the caller. */
  boolean isWhollyRead() {
    return streamed == null || streamed.isEnded();
  }
}
