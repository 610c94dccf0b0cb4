package io.cuminvalve.core.hotkey;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Finds the keys with the highest load among any number of keys, in bounded memory.
 *
 * <p>Implements the Space-Saving algorithm (Metwally, Agrawal, El Abbadi, 2005) with the filter of
 * Homem and Carvalho (2010): the load of a key that is not monitored is added to a filter cell, and
 * the key replaces the monitored key with the lowest count only once its cell reaches that count.
 * Loads decay exponentially with a half-life, so that the sketch adapts to changing hot keys.
 * Instead of reducing old counts, it increases the weight of new ones (forward decay).
 *
 * <p>{@link #record} does not allocate. Not thread-safe.
 *
 * @since 0.1
 */
public final class HotKeySketch {

  /** Number of filter cells per monitored key. */
  private static final int FILTER_FACTOR = 32;

  /** Counts are rescaled when the weight of new counts exceeds this. */
  private static final double MAX_WEIGHT = 0x1p40;

  private static final int EMPTY = -1;

  private final int capacity;
  private final double halfLifeMs;
  private final long[] keys;
  private final double[] counts;
  private final double[] errors;
  private final double[] filter;
  // Min-heap of the monitored keys by count, and the heap position of each key.
  private final int[] heap;
  private final int[] heapPositions;
  // Hash table from key hash to monitored key, with open addressing and linear probing.
  private final int[] buckets;
  private int size;
  private long originMs;
  private double weight = 1;

  /**
   * Creates an empty sketch.
   *
   * @param capacity number of monitored keys; at least 1
   * @param halfLifeMs half-life of the load, in milliseconds
   * @param nowMs the current time
   */
  public HotKeySketch(int capacity, long halfLifeMs, long nowMs) {
    this.capacity = capacity;
    this.halfLifeMs = halfLifeMs;
    this.originMs = nowMs;
    keys = new long[capacity];
    counts = new double[capacity];
    errors = new double[capacity];
    heap = new int[capacity];
    heapPositions = new int[capacity];
    buckets = new int[powerOfTwo(4 * capacity)];
    Arrays.fill(buckets, EMPTY);
    filter = new double[powerOfTwo(FILTER_FACTOR * capacity)];
  }

  private static int powerOfTwo(int atLeast) {
    return Integer.highestOneBit(Math.max(1, atLeast - 1)) << 1;
  }

  /**
   * Sets the time of subsequent loads. Should be called about once per second.
   *
   * @param nowMs the current time; must not decrease
   */
  public void advance(long nowMs) {
    weight = Math.pow(2, (nowMs - originMs) / halfLifeMs);
    if (weight > MAX_WEIGHT) {
      scale(counts, 1 / weight);
      scale(errors, 1 / weight);
      scale(filter, 1 / weight);
      originMs = nowMs;
      weight = 1;
    }
  }

  private static void scale(double[] values, double factor) {
    for (int i = 0; i < values.length; i++) {
      values[i] *= factor;
    }
  }

  /**
   * Adds load to a key.
   *
   * @param keyHash the hash of the key
   * @param load at least 0
   */
  public void record(long keyHash, double load) {
    add(keyHash, load * weight, 0);
  }

  /** Adds an already weighted count, part of which may belong to other keys. */
  private void add(long keyHash, double count, double error) {
    int slot = find(keyHash);
    if (slot != EMPTY) {
      counts[slot] += count;
      errors[slot] += error;
      siftDown(heapPositions[slot]);
      return;
    }
    int cell = cellOf(keyHash);
    if (size < capacity) {
      insert(size++, keyHash, count + filter[cell], error + filter[cell]);
      return;
    }
    double estimate = filter[cell] + count;
    int minSlot = heap[0];
    if (estimate < counts[minSlot]) {
      filter[cell] = estimate;
      return;
    }
    double filtered = filter[cell];
    int minCell = cellOf(keys[minSlot]);
    filter[minCell] = Math.max(filter[minCell], counts[minSlot]);
    unlink(minSlot);
    set(minSlot, keyHash, estimate, error + filtered);
    siftDown(heapPositions[minSlot]);
  }

  private void insert(int slot, long keyHash, double count, double error) {
    heap[slot] = slot;
    heapPositions[slot] = slot;
    set(slot, keyHash, count, error);
    siftUp(slot);
  }

  private void set(int slot, long keyHash, double count, double error) {
    keys[slot] = keyHash;
    counts[slot] = count;
    errors[slot] = error;
    link(slot);
  }

  private int cellOf(long keyHash) {
    return (int) (keyHash >>> 40) & (filter.length - 1);
  }

  private int bucketOf(long keyHash) {
    return (int) ((keyHash * 0x9e3779b97f4a7c15L) >>> 32) & (buckets.length - 1);
  }

  private int find(long keyHash) {
    int bucket = bucketOf(keyHash);
    while (buckets[bucket] != EMPTY) {
      if (keys[buckets[bucket]] == keyHash) {
        return buckets[bucket];
      }
      bucket = (bucket + 1) & (buckets.length - 1);
    }
    return EMPTY;
  }

  private void link(int slot) {
    int bucket = bucketOf(keys[slot]);
    while (buckets[bucket] != EMPTY) {
      bucket = (bucket + 1) & (buckets.length - 1);
    }
    buckets[bucket] = slot;
  }

  /** Frees the bucket of a key and shifts back later entries of its probe sequence. */
  private void unlink(int slot) {
    int mask = buckets.length - 1;
    int hole = bucketOf(keys[slot]);
    while (buckets[hole] != slot) {
      hole = (hole + 1) & mask;
    }
    int next = (hole + 1) & mask;
    while (buckets[next] != EMPTY) {
      int home = bucketOf(keys[buckets[next]]);
      if (((next - home) & mask) >= ((next - hole) & mask)) {
        buckets[hole] = buckets[next];
        hole = next;
      }
      next = (next + 1) & mask;
    }
    buckets[hole] = EMPTY;
  }

  private void siftUp(int from) {
    int position = from;
    while (position > 0 && counts[heap[position]] < counts[heap[(position - 1) / 2]]) {
      swap(position, (position - 1) / 2);
      position = (position - 1) / 2;
    }
  }

  private void siftDown(int from) {
    int position = from;
    while (true) {
      int child = 2 * position + 1;
      if (child >= size) {
        return;
      }
      if (child + 1 < size && counts[heap[child + 1]] < counts[heap[child]]) {
        child++;
      }
      if (counts[heap[position]] <= counts[heap[child]]) {
        return;
      }
      swap(position, child);
      position = child;
    }
  }

  private void swap(int first, int second) {
    int slot = heap[first];
    heap[first] = heap[second];
    heap[second] = slot;
    heapPositions[heap[first]] = first;
    heapPositions[heap[second]] = second;
  }

  /**
   * Adds the counts of another sketch.
   *
   * @param other a sketch whose clock has the same origin; not null, not modified
   */
  public void merge(HotKeySketch other) {
    for (int slot = 0; slot < other.size; slot++) {
      double scale = weight / other.weight;
      add(other.keys[slot], other.counts[slot] * scale, other.errors[slot] * scale);
    }
  }

  /**
   * Returns the keys with the highest load.
   *
   * @param limit maximum number of keys
   * @return the keys in descending order of {@link HotKey#certainLoad}, with loads decayed to the
   *     last {@link #advance}; never null
   */
  public List<HotKey> hottest(int limit) {
    List<HotKey> found = new ArrayList<>(size);
    for (int slot = 0; slot < size; slot++) {
      found.add(new HotKey(keys[slot], counts[slot] / weight, errors[slot] / weight));
    }
    found.sort(Comparator.comparingDouble((HotKey key) -> -key.certainLoad()));
    return List.copyOf(found.subList(0, Math.min(limit, found.size())));
  }
}
