package io.cuminvalve.router.observe;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.TenantId;
import io.cuminvalve.core.verdict.Outcome;
import io.cuminvalve.core.verdict.RefusalReason;
import io.cuminvalve.router.request.RequestContext;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The metrics of a router. Label sets are bounded: kinds and classes come from the rules, tenants
 * beyond the first {@value #MAX_TENANTS} count as {@value #OTHER_TENANTS}.
 *
 * @since 0.1
 */
public final class RouterMetrics {

  /** How many tenants get metrics of their own. */
  public static final int MAX_TENANTS = 64;

  /** Stands for every further tenant. */
  public static final String OTHER_TENANTS = "other";

  private static final double MS_PER_SECOND = 1000.0;
  private static final double[] SECONDS = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 120
  };

  private final Set<String> tenants = ConcurrentHashMap.newKeySet();
  private final Histogram requestSeconds;
  private final Histogram queueSeconds;
  private final Histogram targetSeconds;
  private final Counter verdicts;
  private final Counter refusals;
  private final Counter unrecognised;
  private final Counter droppedAnswers;
  private final Gauge inFlight;
  private final Gauge leased;
  private final Gauge tableTerm;
  private final Gauge tableSequence;
  private final Gauge configRevision;
  private final Counter stateChanges;

  /**
   * Registers the metrics.
   *
   * @param registry where they are scraped from; not null
   */
  public RouterMetrics(PrometheusRegistry registry) {
    requestSeconds =
        histogram(registry, "cuminvalve_request_seconds", "From a request's head to its outcome.");
    queueSeconds =
        histogram(registry, "cuminvalve_queue_seconds", "Waiting for a slot of the target.");
    targetSeconds =
        histogram(registry, "cuminvalve_target_seconds", "From first byte sent to answer head.");
    verdicts =
        counter(registry, "cuminvalve_requests", "Requests by verdict.", "kind", "verdict", "end");
    refusals = counter(registry, "cuminvalve_refusals", "Requests not answered.", "kind", "reason");
    unrecognised =
        counter(registry, "cuminvalve_unrecognised_requests", "Refused on their head.", "reason");
    droppedAnswers =
        counter(registry, "cuminvalve_dropped_answers", "Answers to attempts given up.");
    inFlight = gauge(registry, "cuminvalve_requests_in_flight", "Requests without an outcome.");
    leased = gauge(registry, "cuminvalve_route_leased", "1 while the route lease lasts.", "cell");
    tableTerm = gauge(registry, "cuminvalve_table_term", "Term of the installed table.", "cell");
    tableSequence =
        gauge(registry, "cuminvalve_table_sequence", "Sequence of the installed table.", "cell");
    configRevision =
        gauge(registry, "cuminvalve_config_revision", "Revision of the configuration in force.");
    stateChanges =
        counter(registry, "cuminvalve_state_changes", "Changes of state.", "cell", "event");
  }

  /**
   * Counts a finished request.
   *
   * @param request the request; not null
   * @param outcome how it ended; not null
   * @param times where its time went; not null
   */
  public void onEnded(RequestContext request, Outcome outcome, RequestTimes times) {
    String requestClass = request.rule().requestClass().name().toLowerCase(Locale.ROOT);
    String tenant = tenantLabel(request.tenant());
    requestSeconds.labelValues(requestClass, tenant).observe(times.totalMs() / MS_PER_SECOND);
    queueSeconds.labelValues(requestClass, tenant).observe(times.queuedMs() / MS_PER_SECOND);
    if (outcome.end() == Outcome.End.ANSWERED) {
      targetSeconds.labelValues(requestClass, tenant).observe(times.targetMs() / MS_PER_SECOND);
    }
    String kind = request.rule().kind();
    verdicts.labelValues(kind, outcome.verdict().name(), outcome.end().name()).inc();
    if (outcome.reason() != RefusalReason.NONE) {
      refusals.labelValues(kind, outcome.reason().name()).inc();
    }
    inFlight.dec();
  }

  /** Counts a request that begins. */
  public void onBegun() {
    inFlight.inc();
  }

  /**
   * Counts a request that was refused on its head.
   *
   * @param reason why; not null
   */
  public void onUnrecognised(RefusalReason reason) {
    unrecognised.labelValues(reason.name()).inc();
  }

  /** Counts an answer that came for an attempt that was given up. */
  public void onAnswerDropped() {
    droppedAnswers.inc();
  }

  /**
   * Shows the state of one cell.
   *
   * @param cell the cell; not null
   * @param term the term of its table
   * @param sequence the sequence of its table
   * @param hasLease whether the route lease lasts
   */
  public void onCellState(CellId cell, long term, long sequence, boolean hasLease) {
    tableTerm.labelValues(cell.value()).set(term);
    tableSequence.labelValues(cell.value()).set(sequence);
    leased.labelValues(cell.value()).set(hasLease ? 1 : 0);
  }

  /**
   * Shows the configuration in force.
   *
   * @param revision its revision
   */
  public void onConfiguration(long revision) {
    configRevision.set(revision);
  }

  /**
   * Counts a change of state.
   *
   * @param cell the cell; not null
   * @param event its constant name; not null
   */
  public void onStateChange(CellId cell, String event) {
    stateChanges.labelValues(cell.value(), event).inc();
  }

  private String tenantLabel(TenantId tenant) {
    String value = tenant.value();
    if (tenants.contains(value)) {
      return value;
    }
    return tenants.size() < MAX_TENANTS && tenants.add(value) ? value : OTHER_TENANTS;
  }

  private static Histogram histogram(PrometheusRegistry registry, String name, String help) {
    return Histogram.builder()
        .name(name)
        .help(help)
        .labelNames("class", "tenant")
        .classicUpperBounds(SECONDS)
        .register(registry);
  }

  private static Counter counter(
      PrometheusRegistry registry, String name, String help, String... labels) {
    return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
  }

  private static Gauge gauge(
      PrometheusRegistry registry, String name, String help, String... labels) {
    return Gauge.builder().name(name).help(help).labelNames(labels).register(registry);
  }
}
