package io.cuminvalve.gateway.observe;

import io.cuminvalve.ports.store.StoreCall;
import io.cuminvalve.ports.store.StoreCallOutcome;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.snapshots.ClassicHistogramBuckets;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.DoubleSupplier;

/**
 * Renders the metrics of this process in the Prometheus text format.
 *
 * <p>All values are read on each scrape; nothing is computed between two scrapes.
 *
 * @since 0.2
 */
public final class MetricsPage {

  private static final double MS_PER_SECOND = 1000.0;

  private final RequestMetrics requests;
  private final StoreCallMetrics storeCalls;
  private final UnknownFields unknownFields;
  private final DecisionLog log;
  private final Map<String, Gauge> gauges = new TreeMap<>();

  /**
   * Creates a page without gauges.
   *
   * @param requests counts requests; not null
   * @param storeCalls counts store calls; not null
   * @param unknownFields counts unknown header fields of responses; not null
   * @param log counts decisions by event; not null
   */
  public MetricsPage(
      RequestMetrics requests,
      StoreCallMetrics storeCalls,
      UnknownFields unknownFields,
      DecisionLog log) {
    this.requests = requests;
    this.storeCalls = storeCalls;
    this.unknownFields = unknownFields;
    this.log = log;
  }

  /**
   * Adds a gauge. Must be called before the first scrape.
   *
   * @param name the metric name with its unit; not null
   * @param help the help text; not null
   * @param value supplies the value on any thread; not null
   */
  public void addGauge(String name, String help, DoubleSupplier value) {
    gauges.put(name, new Gauge(help, value));
  }

  /**
   * Renders all metrics.
   *
   * @return UTF-8 text; never null
   */
  public byte[] render() {
    MetricSnapshots.Builder all = MetricSnapshots.builder();
    all.metricSnapshot(requestCounter());
    all.metricSnapshot(requestSeconds());
    all.metricSnapshot(sendSeconds());
    all.metricSnapshot(storeCallCounter());
    all.metricSnapshot(
        counter(
            "cuminvalve_given_up", "Requests given up, by reason.", "reason", requests.givenUp()));
    all.metricSnapshot(
        counter(
            "cuminvalve_served_past_aim",
            "Requests served later than their latency objective, by service.",
            "service",
            requests.servedPastAim()));
    all.metricSnapshot(
        counter(
            "cuminvalve_forwarded",
            "Attempts to have another gateway send a request, by outcome.",
            "outcome",
            requests.forwarded()));
    all.metricSnapshot(
        counter(
            "cuminvalve_relayed",
            "Requests of other gateways that were to be sent, by outcome.",
            "outcome",
            requests.relayed()));
    all.metricSnapshot(
        counter("cuminvalve_events", "Decisions, by event of the log.", "event", log.counts()));
    all.metricSnapshot(
        counter(
            "cuminvalve_unknown_answer_fields",
            "Header fields of targets' answers that nobody reads, by name.",
            "field",
            unknownFields.counts()));
    gauges.forEach((name, gauge) -> all.metricSnapshot(gauge.snapshot(name)));
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.builder().build().write(bytes, all.build());
    } catch (IOException impossible) {
      throw new UncheckedIOException(impossible);
    }
    return bytes.toByteArray();
  }

  private CounterSnapshot requestCounter() {
    CounterSnapshot.Builder counter =
        CounterSnapshot.builder()
            .name("cuminvalve_requests")
            .help("Requests that have ended, by route and outcome.");
    requests
        .byRoute()
        .forEach(
            (route, counts) -> {
              for (RequestOutcome outcome : RequestOutcome.values()) {
                counter.dataPoint(
                    CounterSnapshot.CounterDataPointSnapshot.builder()
                        .labels(Labels.of("route", route, "outcome", outcome.label()))
                        .value(counts.count(outcome))
                        .build());
              }
            });
    return counter.build();
  }

  private CounterSnapshot storeCallCounter() {
    CounterSnapshot.Builder counter =
        CounterSnapshot.builder()
            .name("cuminvalve_store_calls")
            .help("Calls of the store, by kind and end; those held back were not made.");
    for (StoreCall call : StoreCall.values()) {
      for (StoreCallOutcome outcome : StoreCallOutcome.values()) {
        counter.dataPoint(
            CounterSnapshot.CounterDataPointSnapshot.builder()
                .labels(Labels.of("call", call.label(), "end", outcome.label()))
                .value(storeCalls.count(call, outcome))
                .build());
      }
    }
    return counter.build();
  }

  private HistogramSnapshot requestSeconds() {
    HistogramSnapshot.Builder histogram =
        HistogramSnapshot.builder()
            .name("cuminvalve_request_seconds")
            .help("From a request's head to the answer of a target.");
    double[] bounds = boundsSeconds();
    requests
        .byRoute()
        .forEach(
            (route, counts) ->
                histogram.dataPoint(
                    HistogramSnapshot.HistogramDataPointSnapshot.builder()
                        .labels(Labels.of("route", route))
                        .classicHistogramBuckets(
                            ClassicHistogramBuckets.of(bounds, counts.bucketCounts()))
                        .sum(counts.sumMs() / MS_PER_SECOND)
                        .build()));
    return histogram.build();
  }

  private HistogramSnapshot sendSeconds() {
    RequestMetrics.RouteCounts sent = requests.sent();
    return HistogramSnapshot.builder()
        .name("cuminvalve_request_send_seconds")
        .help("From the earliest arrival that is possible for a request to its first byte.")
        .dataPoint(
            HistogramSnapshot.HistogramDataPointSnapshot.builder()
                .classicHistogramBuckets(
                    ClassicHistogramBuckets.of(boundsSeconds(), sent.bucketCounts()))
                .sum(sent.sumMs() / MS_PER_SECOND)
                .build())
        .build();
  }

  private static double[] boundsSeconds() {
    long[] boundsMs = RequestMetrics.RouteCounts.boundsMs();
    double[] bounds = new double[boundsMs.length + 1];
    for (int i = 0; i < boundsMs.length; i++) {
      bounds[i] = boundsMs[i] / MS_PER_SECOND;
    }
    bounds[boundsMs.length] = Double.POSITIVE_INFINITY;
    return bounds;
  }

  private static CounterSnapshot counter(
      String name, String help, String label, Map<String, LongAdder> values) {
    CounterSnapshot.Builder counter = CounterSnapshot.builder().name(name).help(help);
    values.forEach(
        (key, value) ->
            counter.dataPoint(
                CounterSnapshot.CounterDataPointSnapshot.builder()
                    .labels(Labels.of(label, key))
                    .value(value.sum())
                    .build()));
    return counter.build();
  }

  /** A gauge whose value is read on each scrape. */
  private record Gauge(String help, DoubleSupplier value) {

    private GaugeSnapshot snapshot(String name) {
      return GaugeSnapshot.builder()
          .name(name)
          .help(help)
          .dataPoint(
              GaugeSnapshot.GaugeDataPointSnapshot.builder().value(value.getAsDouble()).build())
          .build();
    }
  }
}
