package io.cuminvalve.core.stop;

import io.cuminvalve.core.fleet.RelayPeer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The gateways that were ready lately, and when. Thread-safe.
 *
 * @since 0.2
 */
public final class ReadyPeers {

  /** A gateway that stops starts again within this time: a stop of 6 s, and a start. */
  public static final long RESTART_MS = 10_000;

  private final Map<RelayPeer, Long> lastReadyMs = new HashMap<>();

  /**
   * Records which gateways are ready.
   *
   * @param peers the gateways; not null
   * @param nowMs the current time; milliseconds
   */
  public synchronized void onTold(List<RelayPeer> peers, long nowMs) {
    lastReadyMs.values().removeIf(atMs -> atMs < nowMs - RESTART_MS);
    peers.forEach(peer -> lastReadyMs.put(peer, nowMs));
  }

  /**
   * Returns the gateways that were ready at a time or after it.
   *
   * @param sinceMs the time; milliseconds
   * @return in no particular order; never null
   */
  public synchronized List<RelayPeer> since(long sinceMs) {
    return lastReadyMs.entrySet().stream()
        .filter(entry -> entry.getValue() >= sinceMs)
        .map(Map.Entry::getKey)
        .toList();
  }
}
