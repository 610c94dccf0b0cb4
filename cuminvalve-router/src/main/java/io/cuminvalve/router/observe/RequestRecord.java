package io.cuminvalve.router.observe;

import io.cuminvalve.config.admin.RequestReport;
import io.cuminvalve.config.admin.RequestStep;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.verdict.Outcome;
import io.cuminvalve.router.request.RequestContext;
import java.util.ArrayList;
import java.util.List;

/**
 * The steps of one request so far.
 *
 * <p>Safe for use by several threads.
 *
 * @since 0.1
 */
public final class RequestRecord {

  /** Enough for every attempt that a retry budget allows. */
  private static final int MAX_STEPS = 64;

  private static final int UNKNOWN_SHARD = -1;
  private static final String IN_FLIGHT = "IN_FLIGHT";

  private final RequestContext context;
  private final List<RequestStep> steps = new ArrayList<>();
  private int shard = UNKNOWN_SHARD;
  private TargetId lastTarget;
  private int status;
  private Outcome outcome;

  /**
   * Creates the record of a request that has just arrived.
   *
   * @param context the request; not null
   */
  public RequestRecord(RequestContext context) {
    this.context = context;
  }

  /**
   * Returns the request.
   *
   * @return never null
   */
  public RequestContext context() {
    return context;
  }

  /**
   * Adds a step; ignored once there are too many.
   *
   * @param nowMs the current time on the router's clock
   * @param kind what happened; not null
   * @param target the target it concerns; null if none
   * @param detail for operators; not null
   */
  public synchronized void add(long nowMs, StepKind kind, TargetId target, String detail) {
    lastTarget = target == null ? lastTarget : target;
    if (steps.size() < MAX_STEPS) {
      steps.add(new RequestStep(nowMs - context.arrivedMs(), kind.name(), target, detail));
    }
  }

  /**
   * Returns the target of the last attempt.
   *
   * @return null if there was none
   */
  public synchronized TargetId target() {
    return lastTarget;
  }

  /**
   * Records the shard of the request's key.
   *
   * @param number the shard
   */
  public synchronized void shard(int number) {
    shard = number;
  }

  /**
   * Records the status that the caller receives.
   *
   * @param code an HTTP status
   */
  public synchronized void status(int code) {
    status = code;
  }

  /**
   * Records how the request ended.
   *
   * @param ended the outcome; not null
   */
  public synchronized void end(Outcome ended) {
    outcome = ended;
  }

  /**
   * Returns what is known so far.
   *
   * @param router this router; not null
   * @return a copy, never null
   */
  public synchronized RequestReport report(RouterId router) {
    return new RequestReport(
        router,
        context.id(),
        new CellId(context.rule().service().value()),
        context.rule().kind(),
        shard,
        outcome == null ? IN_FLIGHT : outcome.verdict().name(),
        status,
        steps);
  }
}
