package io.cuminvalve.router.observe;

import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.router.request.RequestContext;

/**
 * Makes the trail of each request.
 *
 * @since 0.1
 */
public final class RequestObserver {

  private final RecentRequests recent;
  private final RouterMetrics metrics;
  private final MillisClock clock;
  private final TraceSink trace;

  /**
   * Creates an observer.
   *
   * @param recent remembers the last requests; not null
   * @param metrics counts them; not null
   * @param clock this router's clock; not null
   * @param trace takes finished requests; not null
   */
  public RequestObserver(
      RecentRequests recent, RouterMetrics metrics, MillisClock clock, TraceSink trace) {
    this.recent = recent;
    this.metrics = metrics;
    this.clock = clock;
    this.trace = trace;
  }

  /**
   * Starts to follow a request.
   *
   * @param context the request; not null
   * @return its trail
   */
  public RequestTrail begin(RequestContext context) {
    RequestRecord record = new RequestRecord(context);
    record.add(context.arrivedMs(), StepKind.ARRIVED, null, context.rule().id().value());
    metrics.onBegun();
    recent.add(record);
    return new RequestTrail(record, metrics, clock, trace);
  }
}
