package io.cuminvalve.load.run;

import io.cuminvalve.load.profile.Profile;
import java.util.List;

/**
 * What to send, how fast, how long and where to.
 *
 * @param profile the mix; not null
 * @param ratePerSecond how many operations a second are intended; above 0
 * @param durationMs how long, in milliseconds
 * @param seed makes the sequence repeatable
 * @param routers IP numbers and ports, used in turn; not empty, copied
 * @param maxOutstanding how many operations may be open at a time; those beyond are counted, not
 *     sent
 * @param resendUncertain whether an operation that must not run twice is sent once more, with its
 *     idempotency key and through another router, when nobody knows whether it ran
 * @since 0.1
 */
public record LoadPlan(
    Profile profile,
    double ratePerSecond,
    long durationMs,
    long seed,
    List<String> routers,
    int maxOutstanding,
    boolean resendUncertain) {

  /** Copies the addresses. */
  public LoadPlan {
    routers = List.copyOf(routers);
  }
}
