package io.cuminvalve.load.report;

import org.HdrHistogram.Histogram;

/**
 * Percentiles of a latency, in milliseconds.
 *
 * @param count how many values
 * @param p50Ms half of them were at most this
 * @param p90Ms nine in ten
 * @param p99Ms ninety-nine in a hundred
 * @param p999Ms nine hundred and ninety-nine in a thousand
 * @param maxMs all of them
 * @since 0.1
 */
public record LatencySummary(
    long count, double p50Ms, double p90Ms, double p99Ms, double p999Ms, double maxMs) {

  private static final double US_PER_MS = 1_000.0;

  static LatencySummary of(Histogram microseconds) {
    return new LatencySummary(
        microseconds.getTotalCount(),
        microseconds.getValueAtPercentile(50) / US_PER_MS,
        microseconds.getValueAtPercentile(90) / US_PER_MS,
        microseconds.getValueAtPercentile(99) / US_PER_MS,
        microseconds.getValueAtPercentile(99.9) / US_PER_MS,
        microseconds.getMaxValue() / US_PER_MS);
  }
}
