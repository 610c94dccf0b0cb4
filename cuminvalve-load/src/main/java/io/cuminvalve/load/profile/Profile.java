package io.cuminvalve.load.profile;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * A mix of operations as one user's callers send it.
 *
 * @param name for reports; not null
 * @param kinds the kinds; not empty, copied
 * @param keys chooses keys; not null
 * @since 0.1
 */
public record Profile(String name, List<OperationKind> kinds, KeyChooser keys) {

  /** Copies the kinds. */
  public Profile {
    kinds = List.copyOf(kinds);
  }

  /**
   * Draws a kind by weight.
   *
   * @param random the source of randomness; not null
   * @return a kind
   */
  public OperationKind chooseKind(RandomGenerator random) {
    int total = kinds.stream().mapToInt(OperationKind::weight).sum();
    int drawn = random.nextInt(total);
    for (OperationKind kind : kinds) {
      drawn -= kind.weight();
      if (drawn < 0) {
        return kind;
      }
    }
    throw new AssertionError("weights changed");
  }
}
