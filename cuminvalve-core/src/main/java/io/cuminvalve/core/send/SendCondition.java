package io.cuminvalve.core.send;

import static io.cuminvalve.core.send.SendKind.GRANT;
import static io.cuminvalve.core.send.SendKind.RELEASE;
import static io.cuminvalve.core.send.SendKind.REQUEST;

import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;

/**
 * A precondition that must hold when the first byte of a message to a target is sent.
 *
 * <p>Conditions are checked in the order of declaration: cheap ones first, and last the one that
 * requires a system call.
 *
 * @since 0.2
 */
public enum SendCondition {

  /** The attempt has not been abandoned. */
  ATTEMPT_OPEN(REQUEST),

  /** The sender holds the term in which it decided on the order. */
  TERM_HELD(GRANT, RELEASE),

  /** The order was decided on recently; otherwise a newer decision may exist. */
  DECISION_RECENT(GRANT, RELEASE),

  /** The caller's timeout, counted from the earliest arrival of the request, is not over. */
  TIME_LEFT(REQUEST),

  /** This process is not stopping, or the request ends before the end of the stop. */
  ENDS_BEFORE_STOP(REQUEST),

  /**
   * No other run is known to answer at the target's address. Releases do not depend on this: they
   * grant no keys, and the answer shows which target is at the address.
   */
  TARGET_RUNS(REQUEST, GRANT),

  /** The target is registered, accepts requests and has not announced that it leaves. */
  TARGET_SERVES(REQUEST),

  /**
   * The data centre of the target is not evacuated, or the target owns the key and the time in
   * which keys move has not ended.
   */
  DATA_CENTRE_OPEN(REQUEST),

  /** The target has not asked this gateway to pause requests. */
  TARGET_RESTED(REQUEST),

  /** The target declares no rate limit, or the permit for this request was issued recently. */
  LIMIT_KEPT(REQUEST),

  /** Requests with the fingerprint of this one are not quarantined. */
  QUARANTINE_CLEAR(REQUEST),

  /** If the request has a key, the target owns it and its range is open. */
  KEY_OWNED(REQUEST),

  /** The configuration in force routes the request to the target's service. */
  ROUTE_IN_FORCE(REQUEST),

  /** The caller's connection is open. */
  CALLER_PRESENT(REQUEST);

  private final Set<SendKind> kinds;

  SendCondition(SendKind first, SendKind... others) {
    this.kinds = EnumSet.of(first, others);
  }

  /**
   * Returns whether a kind of message depends on this condition.
   *
   * @param kind the kind of message; not null
   * @return false if the message may be sent regardless of this condition
   */
  public boolean concerns(SendKind kind) {
    return kinds.contains(kind);
  }

  /**
   * Returns the name used in logs and metrics.
   *
   * @return lower case; never null
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
