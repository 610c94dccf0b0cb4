package io.cuminvalve.core.table;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Maps keys to shards.
 *
 * <p>The seed is part of the stored format: changing it would map every key to another shard.
 *
 * @since 0.1
 */
public final class KeyHasher {

  private static final long SEED = 0x63756d696e76616cL;

  private static final Hasher64 HASHER = Hashing.xxh3_64(SEED);

  private KeyHasher() {}

  /**
   * Returns the shard of a key.
   *
   * @param key the key; not null
   * @param shardCount the number of shards; a power of two
   * @return the shard, from 0 to {@code shardCount} - 1
   */
  public static int shardOf(CharSequence key, int shardCount) {
    return (int) hash(key) & (shardCount - 1);
  }

  /**
   * Returns the 64-bit hash of a key.
   *
   * @param key the key; not null
   * @return the hash
   */
  public static long hash(CharSequence key) {
    return HASHER.hashCharsToLong(key);
  }
}
