package io.cuminvalve.core.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * What one gateway may send to one target with a limit.
 *
 * <p>It asks the issuer whenever it has a request and nothing left, and refuses requests until the
 * time that the issuer names. What it was given runs out unused after a short time. If the issuer
 * does not answer, it goes on with a small part of the limit, at moments that are random, so that
 * all gateways together exceed the limit neither alone nor beside an issuer. Not safe for use by
 * several threads.
 *
 * @since 0.2
 */
public final class LocalQuota {

  /** What this gateway does with a request. */
  public enum Decision {
    /** It may be sent; one less is left. */
    TAKEN,
    /** The issuer has to be asked now, then it waits. */
    ASK,
    /** The issuer has been asked; it waits. */
    WAIT,
    /** It cannot be sent for now. */
    REFUSED
  }

  /** For how long after the question a grant may be used. */
  static final long GRANT_MS = 500;

  /** An answer takes a few milliseconds, at a busy issuer some tens. */
  public static final long ANSWER_MS = 150;

  /** Unanswered questions in a row after which it goes on alone. */
  private static final int ALONE_AFTER = 2;

  /** Pause between two questions to an issuer that does not answer. */
  private static final long RETRY_MS = 300;

  /** A lost issuer is replaced within about so long; longer waits are promised to nobody then. */
  private static final long REPLACED_MS = 1_500;

  /** Nobody is told to come back later than that: limits and owners change meanwhile. */
  static final long LONGEST_WAIT_MS = 5_000;

  /** The part of the limit that all gateways together use if none of them hears an issuer. */
  static final double ALONE_SHARE = 0.5;

  /** Requests of about so long are asked for ahead, where many come. */
  private static final double AHEAD_S = 0.1;

  /** Weight of the newest pause between two requests in the mean pause. */
  private static final double NEWEST = 0.1;

  private static final double LONGEST_PAUSE_MS = 10_000;
  private static final double MS_PER_S = 1_000;

  private final RandomGenerator random;
  private final Map<Integer, Asking> askingByPriority = new HashMap<>();
  private final List<Granted> granted = new ArrayList<>();
  private double perS;
  private int unanswered;
  private long aloneAtMs;
  private long aloneUntilMs;
  private boolean aloneStarted;
  private double meanPauseMs = LONGEST_PAUSE_MS;
  private long requestedMs;

  /**
   * Creates a share with nothing in it.
   *
   * @param perS the limit of the target; requests a second; at least 0
   * @param random spreads what gateways send alone; not null
   */
  public LocalQuota(double perS, RandomGenerator random) {
    this.perS = Math.max(PriorityTokenBucket.LEAST_PER_S, perS);
    this.random = random;
  }

  /**
   * Changes the limit.
   *
   * @param nextPerS requests a second; at least 0
   */
  public void setLimit(double nextPerS) {
    perS = Math.max(PriorityTokenBucket.LEAST_PER_S, nextPerS);
  }

  /**
   * Decides on a request that is about to be sent.
   *
   * @param priority its priority; lower is more urgent
   * @param gateways how many gateways there are, as far as is known; at least 1
   * @param nowMs the time; milliseconds
   * @return never null
   */
  public Decision take(int priority, int gateways, long nowMs) {
    notePause(nowMs);
    if (takeGranted(priority, nowMs)) {
      return Decision.TAKEN;
    }
    Asking asking = askingByPriority.computeIfAbsent(priority, id -> new Asking());
    if (asking.isOverdue(nowMs)) {
      asking.giveUp(nowMs);
      unanswered++;
    }
    if (isIssuerUnreachable() && takeAlone(gateways, nowMs)) {
      return Decision.TAKEN;
    }
    if (asking.isUnderWay()) {
      return isIssuerUnreachable() ? Decision.REFUSED : Decision.WAIT;
    }
    if (nowMs < asking.blockedUntilMs) {
      return Decision.REFUSED;
    }
    asking.begin(nowMs);
    return Decision.ASK;
  }

  /**
   * Tells whether a request of a priority would be refused now, and until when.
   *
   * @param priority its priority
   * @param nowMs the time; milliseconds
   * @return after which time it may be sent; milliseconds, at least 1; empty if it need not be
   *     refused
   */
  public OptionalLong refusedForMs(int priority, long nowMs) {
    Asking asking = askingByPriority.get(priority);
    boolean usable = asking == null || granted.stream().anyMatch(one -> one.fits(priority, nowMs));
    if (usable || (asking.isUnderWay() && !isIssuerUnreachable())) {
      return OptionalLong.empty();
    }
    long forMs = asking.blockedUntilMs - nowMs;
    if (isIssuerUnreachable()) {
      forMs = Math.max(1, Math.max(forMs, Math.min(REPLACED_MS, aloneAtMs - nowMs)));
    }
    return forMs > 0 ? OptionalLong.of(forMs) : OptionalLong.empty();
  }

  /**
   * Returns when a caller that is refused now should come back: each one later than the one before.
   *
   * @param priority the priority of its request
   * @param nowMs the time; milliseconds
   * @return milliseconds; at least 1
   */
  public long nextRetryAfterMs(int priority, long nowMs) {
    Asking asking = askingByPriority.computeIfAbsent(priority, id -> new Asking());
    long earliestMs = nowMs + refusedForMs(priority, nowMs).orElse(1);
    long promisedMs = Math.max(earliestMs, asking.promisedUntilMs);
    promisedMs = Math.min(promisedMs, nowMs + LONGEST_WAIT_MS);
    asking.promisedUntilMs = promisedMs + asking.spacingMs;
    return promisedMs - nowMs;
  }

  /**
   * Returns how many more requests than those that wait are likely to come before the next question
   * is answered.
   *
   * @return at least 0
   */
  public int expectedRequests() {
    return (int) Math.min(perS, AHEAD_S * MS_PER_S / Math.max(1, meanPauseMs));
  }

  /**
   * Takes the issuer's answer.
   *
   * @param priority for which priority it was asked
   * @param grant the answer; not null
   * @param nowMs the time; milliseconds
   */
  public void onGrant(int priority, QuotaGrant grant, long nowMs) {
    Asking asking = askingByPriority.get(priority);
    unanswered = 0;
    aloneStarted = false;
    if (asking == null) {
      return;
    }
    for (int i = 0; i < grant.count(); i++) {
      granted.add(new Granted(priority, asking.askedMs + GRANT_MS));
    }
    asking.end(grant, nowMs);
  }

  /**
   * Tells whether the issuer is believed not to hear this gateway.
   *
   * @return true after several questions without an answer
   */
  public boolean isIssuerUnreachable() {
    return unanswered >= ALONE_AFTER;
  }

  private void notePause(long nowMs) {
    double pauseMs = Math.min(LONGEST_PAUSE_MS, nowMs - requestedMs);
    meanPauseMs += NEWEST * (pauseMs - meanPauseMs);
    requestedMs = nowMs;
  }

  private boolean takeGranted(int priority, long nowMs) {
    granted.removeIf(one -> one.untilMs <= nowMs);
    for (int i = 0; i < granted.size(); i++) {
      if (granted.get(i).fits(priority, nowMs)) {
        granted.remove(i);
        return true;
      }
    }
    return false;
  }

  /** Gateways that hear nobody must not save up: each has its turns, and unused ones are lost. */
  private boolean takeAlone(int gateways, long nowMs) {
    if (!aloneStarted) {
      aloneStarted = true;
      aloneAtMs = nowMs + alonePauseMs(gateways);
      aloneUntilMs = 0;
    }
    while (aloneAtMs <= nowMs) {
      aloneUntilMs = aloneAtMs + GRANT_MS;
      aloneAtMs += alonePauseMs(gateways);
    }
    boolean has = nowMs < aloneUntilMs;
    aloneUntilMs = 0;
    return has;
  }

  private long alonePauseMs(int gateways) {
    double meanMs = MS_PER_S * gateways / (ALONE_SHARE * perS);
    return 1 + (long) (-Math.log(1 - random.nextDouble()) * meanMs);
  }

  /** One request that may be sent, if it is as urgent as the one for which was asked. */
  private record Granted(int priority, long untilMs) {

    boolean fits(int other, long nowMs) {
      return other <= priority && nowMs < untilMs;
    }
  }

  /** The questions to the issuer for requests of one priority. */
  private static final class Asking {

    private long askedMs;
    private boolean underWay;
    private long blockedUntilMs;
    private long promisedUntilMs;
    private long spacingMs;

    boolean isUnderWay() {
      return underWay;
    }

    boolean isOverdue(long nowMs) {
      return underWay && nowMs - askedMs > ANSWER_MS;
    }

    void begin(long nowMs) {
      underWay = true;
      askedMs = nowMs;
    }

    void giveUp(long nowMs) {
      underWay = false;
      blockedUntilMs = nowMs + RETRY_MS;
    }

    void end(QuotaGrant grant, long nowMs) {
      underWay = false;
      blockedUntilMs = nowMs + grant.waitMs();
      spacingMs = grant.spacingMs();
    }
  }
}
