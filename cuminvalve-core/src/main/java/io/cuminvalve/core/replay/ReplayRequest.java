package io.cuminvalve.core.replay;

import io.cuminvalve.core.id.IdempotencyKey;
import io.cuminvalve.core.intent.OperationId;
import io.cuminvalve.core.request.RequestEffect;
import io.cuminvalve.core.request.RequestProfile;
import io.cuminvalve.core.request.RequestState;
import io.cuminvalve.core.request.RequestStateMachine;
import io.cuminvalve.core.verdict.Outcome;
import io.cuminvalve.core.verdict.RefusalReason;
import io.cuminvalve.core.verdict.TargetRefusal;
import io.cuminvalve.core.verdict.Verdict;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A request of a trace: carries the effects of its machine out.
 *
 * @since 0.1
 */
final class ReplayRequest {

  private static final long CLOSE_MS = 1;

  private final VirtualTime time;
  private final TraceEvent.Arrival arrival;
  private final ReplayRouter router;
  private final ReplayTarget target;
  private final RequestStateMachine machine;
  private final long deadlineMs;
  private final Map<Integer, Long> permits = new HashMap<>();
  private final Map<Integer, Long> sentAtMs = new HashMap<>();
  private Outcome outcome;
  private long endedAtMs;
  private int runs;

  ReplayRequest(
      VirtualTime time, TraceEvent.Arrival arrival, ReplayRouter router, ReplayTarget target) {
    this.time = time;
    this.arrival = arrival;
    this.router = router;
    this.target = target;
    this.deadlineMs = time.nowMs() + arrival.timeoutMs();
    boolean claimed = !arrival.idempotent() && !arrival.idempotencyKey().isEmpty();
    RequestProfile profile = new RequestProfile(arrival.idempotent(), claimed, true, deadlineMs);
    this.machine = new RequestStateMachine(profile, router.retries());
  }

  void start() {
    apply(machine.start(time.nowMs()));
    time.at(deadlineMs, () -> apply(machine.onDeadline()));
  }

  long serviceMs() {
    return arrival.serviceMs();
  }

  boolean isOver() {
    return outcome != null;
  }

  ReplayOutcome result() {
    return new ReplayOutcome(arrival.request(), outcome, endedAtMs, runs);
  }

  void onIntentGranted() {
    apply(machine.onIntentGranted());
  }

  void onIntentRefused(Verdict earlier, RefusalReason reason, long retryAfterMs) {
    apply(machine.onIntentRefused(earlier, reason, retryAfterMs));
  }

  void onAdmitted(int attempt) {
    apply(machine.onAdmitted(attempt, time.nowMs()));
  }

  void onAdmissionRefused(int attempt, RefusalReason reason, long retryAfterMs) {
    apply(machine.onAdmissionRefused(attempt, reason, retryAfterMs));
  }

  void onConnectFailed(int attempt) {
    apply(machine.onConnectFailed(attempt, time.nowMs()));
  }

  boolean onFirstByte(int attempt) {
    sentAtMs.put(attempt, time.nowMs());
    return !router.isLost() && machine.onFirstByte(attempt);
  }

  void onRun() {
    runs++;
  }

  void onRefused(int attempt, TargetRefusal refusal) {
    apply(machine.onTargetRefused(attempt, refusal, time.nowMs()));
  }

  void onHead(int attempt) {
    apply(machine.onAnswerHead(attempt));
  }

  void onEnd(int attempt) {
    apply(machine.onAnswerEnd(attempt));
  }

  void onCut(int attempt) {
    apply(machine.onAnswerCut(attempt, time.nowMs()));
  }

  void onCallerGone() {
    apply(machine.onCallerGone());
  }

  void onRouterStopping(long retryAfterMs) {
    apply(machine.onRouterStopping(retryAfterMs));
  }

  /** The router is gone, and with it the caller's connection. */
  void onRouterLost() {
    if (machine.state() != RequestState.ENDED) {
      finish(new Outcome(Outcome.End.ABORTED, Verdict.MAY_HAVE_RUN, RefusalReason.ANSWER_CUT, 0));
    }
  }

  private void apply(List<RequestEffect> effects) {
    if (!router.isLost()) {
      effects.forEach(this::apply);
    }
  }

  private void apply(RequestEffect effect) {
    if (effect instanceof RequestEffect.ClaimIntent) {
      router.intents().claim(operation(), arrival.request(), deadlineMs, time.nowMs());
    } else if (effect instanceof RequestEffect.SettleIntent settle) {
      router.intents().settle(operation(), arrival.request(), settle.verdict(), time.nowMs());
    } else if (effect instanceof RequestEffect.Admit admit) {
      admit(admit.attempt());
    } else if (effect instanceof RequestEffect.WithdrawAdmission withdraw) {
      long permit = permits.get(withdraw.attempt());
      router.admission().withdraw(permit, arrival.target(), time.nowMs());
    } else if (effect instanceof RequestEffect.Dispatch dispatch) {
      target.connect(this, dispatch.attempt());
    } else if (effect instanceof RequestEffect.ReleaseSlot release) {
      release(release);
    } else if (effect instanceof RequestEffect.CancelAtTarget cancel) {
      target.cancel(this, cancel.attempt());
      time.after(CLOSE_MS, () -> apply(machine.onAttemptClosed(cancel.attempt())));
    } else if (effect instanceof RequestEffect.RetryAfter retry) {
      time.after(retry.delayMs(), () -> apply(machine.onRetryTimer()));
    } else if (effect instanceof RequestEffect.Finish finish) {
      finish(finish.outcome());
    }
  }

  private void admit(int attempt) {
    long permit = router.newPermit(this, attempt);
    permits.put(attempt, permit);
    router
        .admission()
        .admit(
            permit,
            arrival.target(),
            arrival.tenant(),
            arrival.requestClass(),
            deadlineMs,
            time.nowMs());
  }

  private void release(RequestEffect.ReleaseSlot release) {
    long startMs = sentAtMs.getOrDefault(release.attempt(), time.nowMs());
    router
        .admission()
        .release(
            permits.get(release.attempt()),
            arrival.target(),
            release.use(),
            time.nowMs() - startMs,
            time.nowMs());
  }

  private void finish(Outcome result) {
    outcome = result;
    endedAtMs = time.nowMs();
  }

  private OperationId operation() {
    return new OperationId(arrival.tenant(), new IdempotencyKey(arrival.idempotencyKey()));
  }
}
