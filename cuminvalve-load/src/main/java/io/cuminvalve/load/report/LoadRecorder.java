package io.cuminvalve.load.report;

import io.cuminvalve.core.rule.RequestClass;
import io.cuminvalve.core.verdict.Verdict;
import io.cuminvalve.load.run.Attempt;
import io.cuminvalve.load.run.Operation;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;

/**
 * Collects the attempts of one run. Thread-safe.
 *
 * @since 0.1
 */
public final class LoadRecorder implements Consumer<Attempt> {

  private static final long MAX_LATENCY_US = 600_000_000L;
  private static final int DIGITS = 3;
  private static final long NS_PER_US = 1_000L;

  private static final class KindCounts {
    long attempts;
    long served;
    final Map<Verdict, Long> verdicts = new EnumMap<>(Verdict.class);
    final Histogram latencyUs = newHistogram();
  }

  /** What callers were told about one operation over all its attempts. */
  private static final class Told {
    final boolean repeatable;
    boolean ran;
    boolean onlyNotRun = true;

    Told(boolean repeatable) {
      this.repeatable = repeatable;
    }
  }

  private final Map<String, KindCounts> kinds = new TreeMap<>();
  private final Map<RequestClass, Histogram> classes = new EnumMap<>(RequestClass.class);
  private final Map<String, Long> errors = new TreeMap<>();
  private final Map<String, Told> told = new HashMap<>();
  private final AvailabilityMeter availability = new AvailabilityMeter();
  private final Timeline timeline = new Timeline();
  private long wrongAnswers;

  @Override
  public synchronized void accept(Attempt attempt) {
    Operation operation = attempt.operation();
    KindCounts counts = kinds.computeIfAbsent(operation.kind().name(), unused -> new KindCounts());
    counts.attempts++;
    counts.verdicts.merge(attempt.verdict(), 1L, Long::sum);
    if (attempt.isServed()) {
      counts.served++;
      recordLatency(attempt, counts);
    } else {
      errors.merge(attempt.code(), 1L, Long::sum);
    }
    if (attempt.wrongAnswer()) {
      wrongAnswers++;
    }
    if (operation.kind().requestClass() == RequestClass.INTERACTIVE && !attempt.resend()) {
      availability.record(attempt);
    }
    timeline.record(attempt);
    remember(attempt);
  }

  /**
   * Returns how many answers belonged to another operation or looked whole but were not.
   *
   * @return a count
   */
  public synchronized long wrongAnswers() {
    return wrongAnswers;
  }

  /**
   * Returns the counts of each second.
   *
   * @return oldest first
   */
  public synchronized List<Timeline.Second> timeline() {
    return timeline.seconds();
  }

  private void recordLatency(Attempt attempt, KindCounts counts) {
    long latencyUs = Math.min(MAX_LATENCY_US, Math.max(0, attempt.latencyNs() / NS_PER_US));
    counts.latencyUs.recordValue(latencyUs);
    classes
        .computeIfAbsent(attempt.operation().kind().requestClass(), unused -> newHistogram())
        .recordValue(latencyUs);
  }

  private static Histogram newHistogram() {
    return new Histogram(MAX_LATENCY_US, DIGITS);
  }

  private void remember(Attempt attempt) {
    Operation operation = attempt.operation();
    Told entry =
        told.computeIfAbsent(operation.id(), unused -> new Told(operation.kind().repeatable()));
    entry.ran |= attempt.verdict() == Verdict.RAN;
    entry.onlyNotRun &= attempt.verdict() == Verdict.NOT_RUN;
  }

  /**
   * Compares what callers were told with what targets counted.
   *
   * @param counts the targets' counts; not null
   * @return the disagreements
   */
  public synchronized AuditResult audit(ExecutionCounts counts) {
    long falseNotRun = 0;
    long falseRan = 0;
    long duplicates = 0;
    for (Map.Entry<String, Told> entry : told.entrySet()) {
      int executions = counts.executionsOf(entry.getKey());
      Told operation = entry.getValue();
      falseNotRun += operation.onlyNotRun && executions > 0 ? 1 : 0;
      falseRan += operation.ran && executions == 0 ? 1 : 0;
      duplicates += !operation.repeatable && executions > 1 ? 1 : 0;
    }
    return new AuditResult(falseNotRun, falseRan, duplicates, wrongAnswers);
  }

  /**
   * Sums up what was recorded so far.
   *
   * @param profile the profile's name; not null
   * @param unsent operations that were left out
   * @return the summary
   */
  public synchronized LoadSummary summary(String profile, long unsent) {
    List<KindSummary> summaries =
        kinds.entrySet().stream().map(entry -> summary(entry.getKey(), entry.getValue())).toList();
    Map<RequestClass, LatencySummary> latencies = new EnumMap<>(RequestClass.class);
    classes.forEach((name, histogram) -> latencies.put(name, LatencySummary.of(histogram)));
    return new LoadSummary(
        profile,
        summaries.stream().mapToLong(KindSummary::attempts).sum(),
        summaries.stream().mapToLong(KindSummary::served).sum(),
        unsent,
        summaries,
        latencies,
        Map.copyOf(errors),
        availability.meanUnavailableMs(),
        availability.worstUnavailableMs());
  }

  private static KindSummary summary(String kind, KindCounts counts) {
    return new KindSummary(
        kind,
        counts.attempts,
        counts.served,
        new EnumMap<>(counts.verdicts),
        LatencySummary.of(counts.latencyUs));
  }
}
