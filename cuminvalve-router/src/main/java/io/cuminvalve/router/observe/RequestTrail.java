package io.cuminvalve.router.observe;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.verdict.Outcome;
import io.cuminvalve.kernel.MillisClock;

/**
 * Follows one request: its record, and the times that go into the metrics.
 *
 * <p>Not safe for use by several threads at once.
 *
 * @since 0.1
 */
public final class RequestTrail {

  private final RequestRecord record;
  private final RouterMetrics metrics;
  private final MillisClock clock;
  private final TraceSink trace;
  private long waitingSinceMs;
  private long sentAtMs;
  private long queuedMs;
  private long targetMs;

  RequestTrail(RequestRecord record, RouterMetrics metrics, MillisClock clock, TraceSink trace) {
    this.record = record;
    this.metrics = metrics;
    this.clock = clock;
    this.trace = trace;
  }

  /**
   * Records a step.
   *
   * @param kind what happened; not null
   * @param target the target it concerns; null if none
   * @param detail for operators; not null, may be empty
   */
  public void step(StepKind kind, TargetId target, String detail) {
    long nowMs = clock.nowMs();
    record.add(nowMs, kind, target, detail);
    switch (kind) {
      case WAITING -> waitingSinceMs = nowMs;
      case ADMITTED -> queuedMs += nowMs - waitingSinceMs;
      case SENT -> sentAtMs = nowMs;
      case ANSWERED -> targetMs = nowMs - sentAtMs;
      case ANSWER_DROPPED -> metrics.onAnswerDropped();
      default -> {}
    }
  }

  /**
   * Records the shard of the request's key.
   *
   * @param number the shard
   */
  public void shard(int number) {
    record.shard(number);
  }

  /**
   * Records the status that the caller receives.
   *
   * @param code an HTTP status
   */
  public void status(int code) {
    record.status(code);
  }

  /**
   * Records how the request ended.
   *
   * @param outcome the outcome; not null
   */
  public void end(Outcome outcome) {
    long nowMs = clock.nowMs();
    record.add(nowMs, StepKind.ENDED, null, outcome.verdict() + " " + outcome.reason());
    record.end(outcome);
    RequestTimes times = new RequestTimes(nowMs - record.context().arrivedMs(), queuedMs, targetMs);
    metrics.onEnded(record.context(), outcome, times);
    trace.write(record, times);
  }
}
