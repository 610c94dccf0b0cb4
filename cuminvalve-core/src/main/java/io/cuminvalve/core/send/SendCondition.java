package io.cuminvalve.core.send;

import static io.cuminvalve.core.send.SendKind.GRANT;
import static io.cuminvalve.core.send.SendKind.RELEASE;
import static io.cuminvalve.core.send.SendKind.REQUEST;

import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;

/**
 * Something that has to hold at the first byte.
 *
 * <p>Conditions are looked at in this order: cheap ones first, and last the one that costs a system
 * call.
 *
 * @since 0.2
 */
public enum SendCondition {

  /** Nobody has given the attempt up. */
  ATTEMPT_OPEN(REQUEST),

  /** The sender holds the term in which it decided on the order. */
  TERM_HELD(GRANT, RELEASE),

  /** The order was decided on lately: a newer one may have been since. */
  DECISION_RECENT(GRANT, RELEASE),

  /** The time that the caller gave is not over, counted from when the request may have arrived. */
  TIME_LEFT(REQUEST),

  /**
   * No other run answers at the address of the target, as far as is known. A release is sent all
   * the same: it gives nobody keys, and who answers it proves who is there.
   */
  TARGET_RUNS(REQUEST, GRANT),

  /** The target is registered, takes requests and has not said that it leaves. */
  TARGET_SERVES(REQUEST),

  /** The target has not asked for rest. */
  TARGET_RESTED(REQUEST),

  /** The target names no limit, or the permit for this request was given lately. */
  LIMIT_KEPT(REQUEST),

  /** Requests like this one are not in quarantine. */
  QUARANTINE_CLEAR(REQUEST),

  /** The target is the open owner of the request's key, if it has one. */
  KEY_OWNED(REQUEST),

  /** The configuration in force sends the request to the target's service. */
  ROUTE_IN_FORCE(REQUEST),

  /** The caller's connection is open. */
  CALLER_PRESENT(REQUEST);

  private final Set<SendKind> kinds;

  SendCondition(SendKind first, SendKind... others) {
    this.kinds = EnumSet.of(first, others);
  }

  /**
   * Tells whether a kind of message depends on this condition.
   *
   * @param kind the kind; not null
   * @return false if it may be sent whether this holds or not
   */
  public boolean concerns(SendKind kind) {
    return kinds.contains(kind);
  }

  /**
   * Returns the name for logs and metrics.
   *
   * @return lower case; never null
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
