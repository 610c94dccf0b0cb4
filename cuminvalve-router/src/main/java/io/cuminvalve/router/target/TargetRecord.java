package io.cuminvalve.router.target;

import io.cuminvalve.core.authority.GrantClock;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.TargetObservation;
import io.cuminvalve.kernel.MillisClock;
import java.net.InetSocketAddress;
import org.eclipse.jetty.http.HttpFields;

/**
 * What this router knows of one target from its own requests and probes.
 *
 * <p>Safe for use by several threads.
 *
 * @since 0.1
 */
public final class TargetRecord {

  private static final long NEVER_MS = Long.MIN_VALUE;

  private final TargetId id;
  private final InetSocketAddress address;
  private final MillisClock clock;
  private volatile GrantClock reading;
  private long lastAnswerMs = NEVER_MS;
  private long unansweredSinceMs = NEVER_MS;
  private boolean refused;
  private int inFlight;

  /**
   * Creates the record of a target that was not heard of yet.
   *
   * @param id its identifier; not null
   * @param address where it listens; not null
   * @param clock this router's clock; not null
   */
  public TargetRecord(TargetId id, InetSocketAddress address, MillisClock clock) {
    this.id = id;
    this.address = address;
    this.clock = clock;
    this.reading = new GrantClock(Incarnation.UNKNOWN, 0, clock.nowMs() - Integer.MAX_VALUE);
  }

  /**
   * Returns the identifier.
   *
   * @return never null
   */
  public TargetId id() {
    return id;
  }

  /**
   * Returns where the target listens.
   *
   * @return never null
   */
  public InetSocketAddress address() {
    return address;
  }

  /**
   * Returns the last reading of the target's clock.
   *
   * @return never null; of an unknown incarnation if there is none
   */
  public GrantClock reading() {
    return reading;
  }

  /**
   * Returns how old the last reading of the target's clock is.
   *
   * @return milliseconds; very large if there is none
   */
  public long readingAgeMs() {
    return clock.nowMs() - reading.heardAtMs();
  }

  /**
   * Records that a request went to the target.
   *
   * @return when, on this router's clock
   */
  public synchronized long onSent() {
    long nowMs = clock.nowMs();
    inFlight++;
    if (unansweredSinceMs == NEVER_MS) {
      unansweredSinceMs = nowMs;
    }
    return nowMs;
  }

  /** Records that a request which was sent is no longer in flight. */
  public synchronized void onReleased() {
    inFlight--;
  }

  /** Records that the target refused a connection. */
  public synchronized void onConnectionRefused() {
    refused = true;
  }

  /**
   * Records the head of an answer.
   *
   * @param headers its header fields; not null
   * @param sentAtMs when the request was sent, on this router's clock
   */
  public synchronized void onAnswer(HttpFields headers, long sentAtMs) {
    // Others may still be unanswered, but at this moment the target was alive.
    unansweredSinceMs = inFlight > 1 ? clock.nowMs() : NEVER_MS;
    refused = false;
    lastAnswerMs = clock.nowMs();
    Incarnation incarnation = new Incarnation(number(headers, TargetHeaders.TARGET_INCARNATION));
    if (!incarnation.isKnown()) {
      return;
    }
    // An answer that was under way when the target restarted must not bring the old run back.
    boolean outdated = !incarnation.equals(reading.incarnation()) && sentAtMs < reading.heardAtMs();
    if (outdated) {
      return;
    }
    long reportedMs = number(headers, TargetHeaders.TARGET_CLOCK);
    reading = new GrantClock(incarnation, reportedMs, clock.nowMs());
  }

  /**
   * Returns how long requests have gone without any answer.
   *
   * @return milliseconds; 0 if none waits
   */
  public synchronized long unansweredMs() {
    return unansweredSinceMs == NEVER_MS ? 0 : clock.nowMs() - unansweredSinceMs;
  }

  /**
   * Returns what to report to the holder of the term.
   *
   * @return never null
   */
  public synchronized TargetObservation observation() {
    GrantClock last = reading;
    long ageMs = lastAnswerMs == NEVER_MS ? Long.MAX_VALUE : clock.nowMs() - lastAnswerMs;
    return new TargetObservation(id, last.incarnation(), ageMs, unansweredMs(), refused, inFlight);
  }

  private static long number(HttpFields headers, String name) {
    String value = headers.get(name);
    if (value == null) {
      return 0;
    }
    try {
      return Long.parseLong(value);
    } catch (NumberFormatException malformed) {
      return 0;
    }
  }
}
