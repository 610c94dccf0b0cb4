package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.id.Incarnation;

/**
 * Numbers the requests of one run of a router.
 *
 * <p>Numbers start at the incarnation, which is drawn at random, so that a reply to a request of an
 * earlier run does not pair with one of this run.
 *
 * @since 0.1
 */
public final class RequestNumbers {

  private final long start;
  private long last;

  /**
   * Creates a source of numbers.
   *
   * @param incarnation the run; not null
   */
  public RequestNumbers(Incarnation incarnation) {
    this.start = incarnation.value();
    this.last = start;
  }

  /**
   * Takes the next number.
   *
   * @return one more than the last
   */
  public long next() {
    last++;
    return last;
  }

  /**
   * Tells whether a number was taken in this run.
   *
   * @param number the number
   * @return false for a reply to an earlier run
   */
  public boolean isOfThisRun(long number) {
    long age = last - number;
    return age >= 0 && age <= last - start;
  }
}
