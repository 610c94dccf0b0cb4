package io.cuminvalve.router.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.verdict.Outcome;
import io.cuminvalve.core.verdict.RefusalReason;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes the answer of a router that could not get one from a target. */
final class ErrorAnswer {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long MS_PER_SECOND = 1000;

  private ErrorAnswer() {}

  /**
   * The body of the answer.
   *
   * @param verdict whether the request may have run
   * @param code why it was not answered
   * @param message the same for people
   * @param requestId the identifier of the request
   * @param advice what the caller should do
   * @param retryAfterMs when to come back; milliseconds, 0 if the caller should not
   */
  record Body(
      String verdict,
      String code,
      String message,
      String requestId,
      String advice,
      long retryAfterMs) {}

  static void write(Response response, RequestId id, Outcome outcome, Callback callback) {
    RefusalReason reason = outcome.reason();
    response.setStatus(reason.httpStatus());
    HttpFields.Mutable headers = response.getHeaders();
    headers.put(CallerHeaders.REQUEST_ID, id.value());
    headers.put(CallerHeaders.VERDICT, outcome.verdict().name());
    headers.put(HttpHeader.CONTENT_TYPE, "application/json");
    if (outcome.retryAfterMs() > 0) {
      headers.put(HttpHeader.RETRY_AFTER, secondsRoundedUp(outcome.retryAfterMs()));
    }
    byte[] body = encode(body(id, outcome));
    headers.put(HttpHeader.CONTENT_LENGTH, body.length);
    response.write(true, ByteBuffer.wrap(body), callback);
  }

  private static Body body(RequestId id, Outcome outcome) {
    RefusalReason reason = outcome.reason();
    return new Body(
        outcome.verdict().name(),
        reason.name(),
        message(outcome),
        id.value(),
        reason.advice(outcome.verdict()).name(),
        outcome.retryAfterMs());
  }

  private static String message(Outcome outcome) {
    return switch (outcome.verdict()) {
      case NOT_RUN -> "The request did not run.";
      case RAN -> "The request ran, but its answer is not available.";
      case MAY_HAVE_RUN -> "The request may have run.";
    };
  }

  private static long secondsRoundedUp(long ms) {
    return (ms + MS_PER_SECOND - 1) / MS_PER_SECOND;
  }

  private static byte[] encode(Body body) {
    try {
      return MAPPER.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new CodedException(ErrorCode.INTERNAL, "an error answer cannot be encoded", e);
    }
  }
}
