package io.cuminvalve.load.profile;

import java.util.random.RandomGenerator;

/**
 * Chooses the key of the next operation.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface KeyChooser {

  /**
   * Chooses a key.
   *
   * @param random the source of randomness; not null
   * @param elapsedMs milliseconds since the load began
   * @return a key
   */
  String choose(RandomGenerator random, long elapsedMs);

  /**
   * Returns a chooser that draws evenly from all keys.
   *
   * @param keyCount how many keys there are
   * @return the chooser
   */
  static KeyChooser even(int keyCount) {
    return (random, elapsedMs) -> "k" + random.nextInt(keyCount);
  }

  /**
   * Returns a chooser with a small group of hot keys that moves on, as a flood does from district
   * to district.
   *
   * @param keyCount how many keys there are
   * @param hotCount how many of them are hot at a time
   * @param hotPercent the share of operations that goes to hot keys, from 0 to 100
   * @param shiftMs after how long another group is hot, in milliseconds
   * @return the chooser
   */
  static KeyChooser shifting(int keyCount, int hotCount, int hotPercent, long shiftMs) {
    return (random, elapsedMs) -> {
      if (random.nextInt(100) >= hotPercent) {
        return "k" + random.nextInt(keyCount);
      }
      long group = elapsedMs / shiftMs;
      return "k" + (group * hotCount + random.nextInt(hotCount)) % keyCount;
    };
  }
}
