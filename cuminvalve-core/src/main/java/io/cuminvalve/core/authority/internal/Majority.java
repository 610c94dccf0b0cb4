package io.cuminvalve.core.authority.internal;

/**
 * Counts majorities.
 *
 * @since 0.1
 */
public final class Majority {

  private Majority() {}

  /**
   * Returns how many members make a majority.
   *
   * @param members the size of the full set
   * @return more than half of it; 0 for an empty set
   */
  public static int of(int members) {
    return members == 0 ? 0 : members / 2 + 1;
  }
}
