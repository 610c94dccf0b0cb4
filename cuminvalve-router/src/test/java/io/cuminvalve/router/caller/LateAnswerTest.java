package io.cuminvalve.router.caller;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.request.RetryPolicy;
import io.cuminvalve.core.request.SlotUse;
import io.cuminvalve.ports.target.AttemptIdHeader;
import io.cuminvalve.router.caller.RawCaller.Answer;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * A target's answer that comes a second time, late, must not pass for the answer to another attempt
 * on the same connection.
 */
class LateAnswerTest {

  private static final long BROKEN_AFTER_S = 30;

  /** Guards against NOT_RUN for a payout that ran, because its first attempt was refused before. */
  @Test
  void copiesOfRefusalsRefuseNoLaterAttempt() throws Exception {
    try (FakeTarget target =
            new FakeTarget(
                connection -> {
                  String refusal = refusal(connection.readHead());
                  connection.readBody(2);
                  connection.write(refusal);
                  String ran = answer(connection.readHead(), "paid");
                  connection.readBody(2);
                  connection.write(refusal + ran);
                });
        PathFixture path = new PathFixture(target.address(), 1);
        RawCaller caller = path.caller()) {
      path.retryDecider = (failed, remainingMs, now) -> failed == 1 ? 5 : RetryPolicy.NO_RETRY;
      caller.post("/claims/a/payouts", "{}");
      assertThat(path.releases.poll(BROKEN_AFTER_S, TimeUnit.SECONDS)).isEqualTo(SlotUse.REFUSED);
      path.timers.endBackoff();

      assertThat(caller.answer().verdict()).isEqualTo("MAY_HAVE_RUN");
      assertThat(path.releases.poll(BROKEN_AFTER_S, TimeUnit.SECONDS)).isEqualTo(SlotUse.BROKEN);
    }
  }

  /** Guards against a caller that gets the answer to the request of another one. */
  @Test
  void copiesOfAnswersReachNoOtherCaller() throws Exception {
    try (FakeTarget target =
            new FakeTarget(
                connection -> {
                  String first = answer(connection.readHead(), "claim a");
                  connection.write(first);
                  String second = answer(connection.readHead(), "claim b");
                  connection.write(first + second);
                });
        PathFixture path = new PathFixture(target.address(), 1);
        RawCaller caller = path.caller()) {
      assertThat(caller.get("/claims/a").answer().body()).isEqualTo("claim a");
      Answer second = caller.get("/claims/b").answer();

      assertThat(second.body()).doesNotContain("claim a");
      assertThat(second.verdict()).isEqualTo("MAY_HAVE_RUN");
    }
  }

  private static String refusal(String head) {
    return "HTTP/1.1 503 Busy\r\nCuminvalve-Refusal: OVERLOADED\r\n" + rest(head, "busy");
  }

  private static String answer(String head, String body) {
    return "HTTP/1.1 200 OK\r\n" + rest(head, body);
  }

  private static String rest(String head, String body) {
    return AttemptIdHeader.NAME
        + ": "
        + Http.header(head, AttemptIdHeader.NAME).orElse("none")
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }
}
