package io.cuminvalve.core.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * The quota of one gateway for one target with a rate limit.
 *
 * <p>A gateway requests tokens from the issuer when it has a request and no token left, and refuses
 * requests until the time given by the issuer. Unused tokens expire after a short time. If the
 * issuer does not answer, the gateway falls back to a small part of the limit and sends at random
 * times, so that all gateways together stay within the limit, whether or not an issuer still serves
 * some of them. Not thread-safe.
 *
 * @since 0.2
 */
public final class LocalQuota {

  /** The decision on a request. */
  public enum Decision {
    /** A token was taken; the request may be sent. */
    TAKEN,
    /** The caller must request tokens from the issuer now; the request waits. */
    ASK,
    /** Tokens have been requested from the issuer; the request waits. */
    WAIT,
    /** The request cannot be sent for now. */
    REFUSED
  }

  /** How long tokens are valid, counted from the request to the issuer. */
  static final long TOKEN_LIFETIME_MS = 500;

  /**
   * Timeout of a request to the issuer. An answer takes a few milliseconds, or some tens if the
   * issuer is busy.
   */
  public static final long ANSWER_MS = 150;

  /** Consecutive unanswered requests after which the issuer counts as unreachable. */
  private static final int UNREACHABLE_AFTER = 2;

  /** Pause before the next request to an issuer that did not answer. */
  private static final long RETRY_MS = 300;

  /**
   * A lost issuer is replaced within about this time, so a longer wait is not announced meanwhile.
   */
  private static final long ISSUER_REPLACEMENT_MS = 1_500;

  /** Longest wait announced to a caller, since limits and owners may change meanwhile. */
  static final long MAX_WAIT_MS = 5_000;

  /** The part of the limit that all gateways together use if none of them reaches an issuer. */
  static final double FALLBACK_SHARE = 0.5;

  /** Tokens are requested in advance for the requests expected within this time. */
  private static final double PREFETCH_S = 0.1;

  /** Weight of the newest interval between two requests in the moving average. */
  private static final double INTERVAL_WEIGHT = 0.1;

  private static final double MAX_INTERVAL_MS = 10_000;
  private static final double MS_PER_S = 1_000;

  private final RandomGenerator random;
  private final Map<Integer, IssuerState> stateByPriority = new HashMap<>();
  private final List<Token> tokens = new ArrayList<>();
  private double perS;
  private int unanswered;
  private long nextFallbackMs;
  private long fallbackUntilMs;
  private boolean fallbackStarted;
  private double meanIntervalMs = MAX_INTERVAL_MS;
  private long lastRequestMs;

  /**
   * Creates a quota without tokens.
   *
   * @param perS the limit of the target; requests per second; at least 0
   * @param random randomises send times while the issuer is unreachable; not null
   */
  public LocalQuota(double perS, RandomGenerator random) {
    this.perS = Math.max(PriorityTokenBucket.MIN_PER_S, perS);
    this.random = random;
  }

  /**
   * Changes the limit.
   *
   * @param nextPerS requests per second; at least 0
   */
  public void setLimit(double nextPerS) {
    perS = Math.max(PriorityTokenBucket.MIN_PER_S, nextPerS);
  }

  /**
   * Decides on a request that is about to be sent.
   *
   * @param priority the priority of the request; lower is more urgent
   * @param gateways the known number of gateways; at least 1
   * @param nowMs the current time in milliseconds
   * @return the decision; never null
   */
  public Decision take(int priority, int gateways, long nowMs) {
    recordInterval(nowMs);
    if (takeToken(priority, nowMs)) {
      return Decision.TAKEN;
    }
    IssuerState state = stateByPriority.computeIfAbsent(priority, id -> new IssuerState());
    if (state.isOverdue(nowMs)) {
      state.onTimeout(nowMs);
      unanswered++;
    }
    if (isIssuerUnreachable() && takeFallbackToken(gateways, nowMs)) {
      return Decision.TAKEN;
    }
    if (state.isPending()) {
      return isIssuerUnreachable() ? Decision.REFUSED : Decision.WAIT;
    }
    if (nowMs < state.blockedUntilMs) {
      return Decision.REFUSED;
    }
    state.onAsked(nowMs);
    return Decision.ASK;
  }

  /**
   * Returns for how long a request of a priority would be refused.
   *
   * @param priority the priority of the request
   * @param nowMs the current time in milliseconds
   * @return the time until it may be sent; milliseconds, at least 1; empty if it would not be
   *     refused
   */
  public OptionalLong refusedForMs(int priority, long nowMs) {
    IssuerState state = stateByPriority.get(priority);
    boolean usable =
        state == null || tokens.stream().anyMatch(token -> token.isUsableFor(priority, nowMs));
    if (usable || (state.isPending() && !isIssuerUnreachable())) {
      return OptionalLong.empty();
    }
    long waitMs = state.blockedUntilMs - nowMs;
    if (isIssuerUnreachable()) {
      waitMs =
          Math.max(1, Math.max(waitMs, Math.min(ISSUER_REPLACEMENT_MS, nextFallbackMs - nowMs)));
    }
    return waitMs > 0 ? OptionalLong.of(waitMs) : OptionalLong.empty();
  }

  /**
   * Returns when a caller that is refused now should retry. Successive callers get successively
   * later times.
   *
   * @param priority the priority of the request
   * @param nowMs the current time in milliseconds
   * @return the delay in milliseconds; at least 1
   */
  public long nextRetryAfterMs(int priority, long nowMs) {
    IssuerState state = stateByPriority.computeIfAbsent(priority, id -> new IssuerState());
    long earliestMs = nowMs + refusedForMs(priority, nowMs).orElse(1);
    long retryAtMs = Math.max(earliestMs, state.nextRetryAtMs);
    retryAtMs = Math.min(retryAtMs, nowMs + MAX_WAIT_MS);
    state.nextRetryAtMs = retryAtMs + state.spacingMs;
    return retryAtMs - nowMs;
  }

  /**
   * Returns the number of requests expected to arrive before the next answer of the issuer, in
   * addition to those that already wait.
   *
   * @return the number; at least 0
   */
  public int expectedRequests() {
    return (int) Math.min(perS, PREFETCH_S * MS_PER_S / Math.max(1, meanIntervalMs));
  }

  /**
   * Handles an answer of the issuer.
   *
   * @param priority the priority for which tokens were requested
   * @param grant the answer; not null
   * @param nowMs the current time in milliseconds
   */
  public void onGrant(int priority, QuotaGrant grant, long nowMs) {
    IssuerState state = stateByPriority.get(priority);
    unanswered = 0;
    fallbackStarted = false;
    if (state == null) {
      return;
    }
    for (int i = 0; i < grant.count(); i++) {
      tokens.add(new Token(priority, state.askedMs + TOKEN_LIFETIME_MS));
    }
    state.onGrant(grant, nowMs);
  }

  /**
   * Returns whether the issuer counts as unreachable.
   *
   * @return true after several consecutive requests without an answer
   */
  public boolean isIssuerUnreachable() {
    return unanswered >= UNREACHABLE_AFTER;
  }

  private void recordInterval(long nowMs) {
    double intervalMs = Math.min(MAX_INTERVAL_MS, nowMs - lastRequestMs);
    meanIntervalMs += INTERVAL_WEIGHT * (intervalMs - meanIntervalMs);
    lastRequestMs = nowMs;
  }

  private boolean takeToken(int priority, long nowMs) {
    tokens.removeIf(token -> token.expiresAtMs <= nowMs);
    for (int i = 0; i < tokens.size(); i++) {
      if (tokens.get(i).isUsableFor(priority, nowMs)) {
        tokens.remove(i);
        return true;
      }
    }
    return false;
  }

  /**
   * Takes the current fallback token, if there is one. Fallback tokens do not accumulate, so that
   * gateways without an issuer cannot send bursts.
   */
  private boolean takeFallbackToken(int gateways, long nowMs) {
    if (!fallbackStarted) {
      fallbackStarted = true;
      nextFallbackMs = nowMs + fallbackIntervalMs(gateways);
      fallbackUntilMs = 0;
    }
    while (nextFallbackMs <= nowMs) {
      fallbackUntilMs = nextFallbackMs + TOKEN_LIFETIME_MS;
      nextFallbackMs += fallbackIntervalMs(gateways);
    }
    boolean available = nowMs < fallbackUntilMs;
    fallbackUntilMs = 0;
    return available;
  }

  private long fallbackIntervalMs(int gateways) {
    double meanMs = MS_PER_S * gateways / (FALLBACK_SHARE * perS);
    return 1 + (long) (-Math.log(1 - random.nextDouble()) * meanMs);
  }

  /** Permission to send one request of the given priority or a more urgent one. */
  private record Token(int priority, long expiresAtMs) {

    boolean isUsableFor(int other, long nowMs) {
      return other <= priority && nowMs < expiresAtMs;
    }
  }

  /** State of the token requests to the issuer for one priority. */
  private static final class IssuerState {

    private long askedMs;
    private boolean pending;
    private long blockedUntilMs;
    private long nextRetryAtMs;
    private long spacingMs;

    boolean isPending() {
      return pending;
    }

    boolean isOverdue(long nowMs) {
      return pending && nowMs - askedMs > ANSWER_MS;
    }

    void onAsked(long nowMs) {
      pending = true;
      askedMs = nowMs;
    }

    void onTimeout(long nowMs) {
      pending = false;
      blockedUntilMs = nowMs + RETRY_MS;
    }

    void onGrant(QuotaGrant grant, long nowMs) {
      pending = false;
      blockedUntilMs = nowMs + grant.waitMs();
      spacingMs = grant.spacingMs();
    }
  }
}
