package io.cuminvalve.router.target;

import io.cuminvalve.kernel.MillisClock;
import java.util.Map;
import java.util.WeakHashMap;

/**
 * Keeps what is known of targets fresh: asks those that did not answer for a while, or that owe an
 * answer.
 *
 * <p>Runs on the control thread.
 *
 * @since 0.1
 */
public final class TargetProber {

  /** The shortest time between two probes of a target. */
  private static final long PAUSE_MS = 100;

  private final TargetDirectory directory;
  private final TargetOrders orders;
  private final long maxReadingAgeMs;
  private final long maxUnansweredMs;
  private final MillisClock clock;
  private final Map<TargetRecord, Long> lastProbesMs = new WeakHashMap<>();

  /**
   * Creates a prober.
   *
   * @param directory the targets; not null
   * @param orders sends probes; not null
   * @param clock this router's clock; not null
   * @param maxReadingAgeMs how old the reading of a target's clock may become; milliseconds
   * @param maxUnansweredMs how long requests may go without any answer; milliseconds
   */
  public TargetProber(
      TargetDirectory directory,
      TargetOrders orders,
      MillisClock clock,
      long maxReadingAgeMs,
      long maxUnansweredMs) {
    this.directory = directory;
    this.orders = orders;
    this.clock = clock;
    this.maxReadingAgeMs = maxReadingAgeMs;
    this.maxUnansweredMs = maxUnansweredMs;
  }

  /** Probes every target that needs it, each at most once per pause. */
  public void onTick() {
    long nowMs = clock.nowMs();
    for (TargetRecord target : directory.all()) {
      boolean wanted =
          target.readingAgeMs() > maxReadingAgeMs || target.unansweredMs() > maxUnansweredMs;
      Long lastProbeMs = lastProbesMs.get(target);
      boolean rested = lastProbeMs == null || nowMs - lastProbeMs >= PAUSE_MS;
      if (wanted && rested) {
        lastProbesMs.put(target, nowMs);
        orders.probe(target, () -> {});
      }
    }
  }
}
