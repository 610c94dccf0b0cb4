package io.cuminvalve.core.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * The requests of one router that wait for a moving shard to open. Bounded; not thread-safe.
 *
 * @since 0.1
 */
public final class ParkedRequests {

  private final int maxParked;
  private final Map<Integer, ArrayDeque<Parked>> byShard = new HashMap<>();
  private int size;

  /**
   * A waiting request.
   *
   * @param number the number of the request
   * @param deadlineMs when to stop waiting
   */
  private record Parked(long number, long deadlineMs) {}

  /**
   * Creates an empty collection.
   *
   * @param maxParked the maximum number of waiting requests
   */
  public ParkedRequests(int maxParked) {
    this.maxParked = maxParked;
  }

  /**
   * Parks a request.
   *
   * @param number the number of the request; not parked already
   * @param shard the shard
   * @param deadlineMs when to stop waiting
   * @return false if the limit is reached; the caller then refuses the request with QUEUE_FULL
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
   * Removes and returns the requests of a shard that opened or whose owner changed.
   *
   * @param shard the shard
   * @return their numbers in order of arrival; never null
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
   * Removes a request that ended for another reason.
   *
   * @param number the number of the request
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
   * Removes and returns the requests that have waited until their deadline. The caller refuses them
   * with SHARD_UNAVAILABLE.
   *
   * @param nowMs the current time in milliseconds
   * @return their numbers; never null
   */
  public List<Long> expire(long nowMs) {
    List<Long> expired = new ArrayList<>();
    for (Iterator<ArrayDeque<Parked>> iterator = byShard.values().iterator();
        iterator.hasNext(); ) {
      ArrayDeque<Parked> parked = iterator.next();
      parked.removeIf(p -> nowMs >= p.deadlineMs() && expired.add(p.number()));
      if (parked.isEmpty()) {
        iterator.remove();
      }
    }
    size -= expired.size();
    return expired;
  }

  /**
   * Returns the shards that have waiting requests.
   *
   * @return a copy
   */
  public List<Integer> shards() {
    return new ArrayList<>(byShard.keySet());
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return the number
   */
  public int size() {
    return size;
  }
}
