package io.cuminvalve.load.run;

import io.cuminvalve.core.verdict.Verdict;
import io.cuminvalve.load.profile.OperationKind;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;

/** Sends one operation to one router and reads the answer. */
final class OperationSender {

  private static final int MAX_ANSWER_BYTES = 1 << 20;

  /** How much longer than its deadline a caller waits before it gives the router up. */
  private static final long PATIENCE_MS = 3_000;

  private static final Pattern CODE = Pattern.compile("\"code\"\\s*:\\s*\"([^\"]*)\"");

  private final HttpClient client;
  private final Map<Integer, byte[]> bodies = new ConcurrentHashMap<>();

  OperationSender(HttpClient client) {
    this.client = client;
  }

  void send(Operation operation, String router, boolean resend, Consumer<Attempt> done) {
    OperationKind kind = operation.kind();
    Request request =
        client
            .newRequest("http://" + router + kind.path(operation.key()))
            .method(kind.method())
            .timeout(kind.timeoutMs() + PATIENCE_MS, TimeUnit.MILLISECONDS);
    addHeaders(request, operation);
    if (kind.bodyBytes() > 0) {
      request.body(new BytesRequestContent("application/octet-stream", body(kind.bodyBytes())));
    }
    request.send(
        new BufferingResponseListener(MAX_ANSWER_BYTES) {
          @Override
          public void onComplete(Result result) {
            done.accept(read(operation, resend, result, getContent()));
          }
        });
  }

  private byte[] body(int bytes) {
    return bodies.computeIfAbsent(bytes, byte[]::new);
  }

  private static void addHeaders(Request request, Operation operation) {
    OperationKind kind = operation.kind();
    request.headers(
        headers -> {
          headers.put("X-Operation-Id", operation.id());
          headers.put("X-Answer-Bytes", Integer.toString(kind.answerBytes()));
          headers.put("Cuminvalve-Timeout-Ms", Long.toString(kind.timeoutMs()));
          if (kind.keyHeader() != null) {
            headers.put(kind.keyHeader(), operation.key());
          }
          if (!kind.repeatable()) {
            headers.put("X-Operation-Repeatable", "false");
            headers.put("Idempotency-Key", operation.id());
          }
        });
  }

  private static Attempt read(Operation operation, boolean resend, Result result, byte[] content) {
    if (result.isFailed()) {
      return readFailure(operation, resend, result);
    }
    int status = result.getResponse().getStatus();
    String verdict = result.getResponse().getHeaders().get("Cuminvalve-Verdict");
    String text = new String(content == null ? new byte[0] : content, StandardCharsets.UTF_8);
    boolean wrong = status == 200 && !isAnswerOf(operation, text);
    return new Attempt(
        operation,
        resend,
        verdict == null ? Verdict.MAY_HAVE_RUN : Verdict.valueOf(verdict),
        status,
        status == 200 ? "" : code(text, status),
        wrong,
        System.nanoTime());
  }

  private static Attempt readFailure(Operation operation, boolean resend, Result result) {
    Throwable failure = result.getFailure();
    boolean unsent = failure instanceof ConnectException;
    return new Attempt(
        operation,
        resend,
        unsent ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN,
        0,
        failure.getClass().getSimpleName(),
        false,
        System.nanoTime());
  }

  private static String code(String text, int status) {
    Matcher matcher = CODE.matcher(text);
    return matcher.find() ? matcher.group(1) : "HTTP_" + status;
  }

  /** The answer of a stand-in is a line, repeated, that names the operation. */
  private static boolean isAnswerOf(Operation operation, String text) {
    String line = operation.id() + " " + operation.kind().bodyBytes() + "\n";
    int lines = Math.max(1, operation.kind().answerBytes() / line.length());
    return text.equals(line.repeat(lines));
  }
}
