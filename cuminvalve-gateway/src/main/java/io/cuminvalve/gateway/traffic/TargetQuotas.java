package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.quota.LimitLedger;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.kernel.MillisClock;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.regex.Pattern;

/**
 * Which targets name a limit in their answers, as far as this gateway knows.
 *
 * <p>Safe for use by several threads.
 *
 * @since 0.2
 */
final class TargetQuotas {

  /** Decimal digits only: no sign, no exponent, nothing that other parsers read otherwise. */
  private static final Pattern LIMIT = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?|\\.\\d{1,9}");

  /** Pause between two lines on the requests that this gateway sent to a target with a limit. */
  private static final long REPORT_MS = 4_000;

  private final MillisClock clock;
  private final DecisionLog log;
  private final LimitLedger ledger = new LimitLedger();
  private final Map<TargetId, Sends> sends = new HashMap<>();

  TargetQuotas(MillisClock clock, DecisionLog log) {
    this.clock = clock;
    this.log = log;
  }

  /** Counts a request that goes to a target. */
  synchronized void onSent(TargetId target) {
    Sends counted = sends.get(target);
    if (counted != null) {
      counted.count++;
      logSends(target, counted);
    }
  }

  /**
   * Takes an answer.
   *
   * @param target the run of the target; not null
   * @param named what it says of a limit; null if nothing
   * @param sentMs when its request was sent; a time of the clock; milliseconds
   */
  synchronized void onAnswer(TargetId target, String named, long sentMs) {
    long nowMs = clock.nowMs();
    if (named == null) {
      if (ledger.onNotNamed(target, sentMs, nowMs)) {
        sends.remove(target);
        log.write("target_limit_ended", "target={}", target);
      }
      return;
    }
    OptionalDouble perS = parse(named);
    if (perS.isEmpty()) {
      log.write("target_limit_unreadable", "target={} length={}", target, named.length());
    } else if (ledger.onNamed(target, perS.getAsDouble(), nowMs)) {
      sends.computeIfAbsent(target, id -> new Sends(nowMs));
      log.write("target_limit", "target={} limit_per_s={}", target, perS.getAsDouble());
    }
  }

  private static OptionalDouble parse(String named) {
    String text = named.strip();
    return LIMIT.matcher(text).matches()
        ? OptionalDouble.of(Double.parseDouble(text))
        : OptionalDouble.empty();
  }

  private void logSends(TargetId target, Sends counted) {
    long nowMs = clock.nowMs();
    if (nowMs - counted.sinceMs >= REPORT_MS) {
      log.write(
          "target_limit_used",
          "target={} limit_per_s={} sent={} in_ms={}",
          target,
          ledger.limitOf(target).orElse(0),
          counted.count,
          nowMs - counted.sinceMs);
      counted.count = 0;
      counted.sinceMs = nowMs;
    }
  }

  /** What this gateway sent to a target since the last line on it. */
  private static final class Sends {

    private long sinceMs;
    private int count;

    Sends(long sinceMs) {
      this.sinceMs = sinceMs;
    }
  }
}
