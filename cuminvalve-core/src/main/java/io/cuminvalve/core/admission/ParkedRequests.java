package io.cuminvalve.core.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Requests of one router that wait for a moving shard to open. Bounded; not thread-safe.
 *
 * @since 0.1
 */
public final class ParkedRequests {

  private final int maxParked;
  private final Map<Integer, ArrayDeque<Parked>> byShard = new HashMap<>();
  private int size;

  /**
   * A request that waits.
   *
   * @param number its number
   * @param deadlineMs when it is pointless to wait longer
   */
  private record Parked(long number, long deadlineMs) {}

  /**
   * Creates an empty one.
   *
   * @param maxParked how many requests may wait
   */
  public ParkedRequests(int maxParked) {
    this.maxParked = maxParked;
  }

  /**
   * Parks a request.
   *
   * @param number its number; not parked already
   * @param shard the shard
   * @param deadlineMs when it is pointless to wait longer
   * @return false if no more may wait: refuse it with QUEUE_FULL
   */
  public boolean park(long number, int shard, long deadlineMs) {
    if (size >= maxParked) {
      return false;
    }
    size++;
    byShard.computeIfAbsent(shard, s -> new ArrayDeque<>()).add(new Parked(number, deadlineMs));
    return true;
  }

  /**
   * Takes the requests of a shard that opened, or whose owner changed.
   *
   * @param shard the shard
   * @return their numbers in the order of arrival; never null
   */
  public List<Long> unpark(int shard) {
    ArrayDeque<Parked> parked = byShard.remove(shard);
    if (parked == null) {
      return List.of();
    }
    size -= parked.size();
    return parked.stream().map(Parked::number).toList();
  }

  /**
   * Forgets a request that ended otherwise.
   *
   * @param number its number
   * @param shard the shard
   */
  public void remove(long number, int shard) {
    ArrayDeque<Parked> parked = byShard.get(shard);
    if (parked != null && parked.removeIf(p -> p.number() == number)) {
      size--;
      if (parked.isEmpty()) {
        byShard.remove(shard);
      }
    }
  }

  /**
   * Takes the requests whose deadline came too near: refuse them with SHARD_UNAVAILABLE.
   *
   * @param nowMs the current time in milliseconds
   * @return their numbers; never null
   */
  public List<Long> expire(long nowMs) {
    List<Long> expired = new ArrayList<>();
    for (Iterator<ArrayDeque<Parked>> all = byShard.values().iterator(); all.hasNext(); ) {
      ArrayDeque<Parked> parked = all.next();
      parked.removeIf(p -> nowMs >= p.deadlineMs() && expired.add(p.number()));
      if (parked.isEmpty()) {
        all.remove();
      }
    }
    size -= expired.size();
    return expired;
  }

  /**
   * Returns the shards for which requests wait.
   *
   * @return a copy
   */
  public List<Integer> shards() {
    return new ArrayList<>(byShard.keySet());
  }

  /**
   * Returns how many requests wait.
   *
   * @return their number
   */
  public int size() {
    return size;
  }
}
