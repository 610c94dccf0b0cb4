package io.cuminvalve.testkit.store;

import io.cuminvalve.kernel.MillisClock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** Keys, revisions, leases and waiting watches. Not thread-safe: its owner locks. */
final class StoreState {

  private static final class Lease {
    final long ttlMs;
    long endsMs;

    Lease(long ttlMs, long endsMs) {
      this.ttlMs = ttlMs;
      this.endsMs = endsMs;
    }
  }

  private record Watch(String key, long after, Runnable action) {}

  private final MillisClock clock;
  private final Map<String, StoredValue> values = new HashMap<>();
  private final Map<String, StoredValue> previousValues = new HashMap<>();
  private final Map<String, Long> lastChanges = new HashMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private long revision;
  private long nextLease = 1;

  StoreState(MillisClock clock) {
    this.clock = clock;
  }

  long revision() {
    return revision;
  }

  Optional<StoredValue> get(String key) {
    expireLeases();
    return Optional.ofNullable(values.get(key));
  }

  Optional<StoredValue> getPrevious(String key) {
    return Optional.ofNullable(previousValues.get(key));
  }

  /** Writes if the key's revision is the expected one; returns the new revision if it did. */
  OptionalLong put(String key, long expectedRevision, long lease, byte[] bytes) {
    expireLeases();
    if (revisionOf(key) != expectedRevision || (lease != 0 && !leases.containsKey(lease))) {
      return OptionalLong.empty();
    }
    remember(key);
    values.put(key, new StoredValue(bytes, ++revision, lease));
    lastChanges.put(key, revision);
    wake(key);
    return OptionalLong.of(revision);
  }

  boolean delete(String key, long expectedRevision) {
    expireLeases();
    if (revisionOf(key) != expectedRevision || expectedRevision == 0) {
      return false;
    }
    remove(key);
    return true;
  }

  long revisionOf(String key) {
    StoredValue value = values.get(key);
    return value == null ? 0 : value.revision();
  }

  /** Tells whether the key was removed after a revision. */
  boolean isRemovedSince(String key, long after) {
    return !values.containsKey(key) && lastChanges.getOrDefault(key, 0L) > after;
  }

  private void remember(String key) {
    StoredValue old = values.get(key);
    if (old != null) {
      previousValues.put(key, old);
    }
  }

  private void remove(String key) {
    remember(key);
    values.remove(key);
    lastChanges.put(key, ++revision);
    wake(key);
  }

  /** Runs the action once, as soon as the key changes; the caller checks the value itself. */
  Object watch(String key, long after, Runnable action) {
    Watch watch = new Watch(key, after, action);
    watches.add(watch);
    return watch;
  }

  boolean unwatch(Object watch) {
    return watches.removeIf(candidate -> candidate == watch);
  }

  int waitingWatches() {
    return watches.size();
  }

  private void wake(String key) {
    List<Watch> due = watches.stream().filter(watch -> watch.key().equals(key)).toList();
    watches.removeAll(due);
    due.forEach(watch -> watch.action().run());
  }

  long createLease(long ttlMs) {
    expireLeases();
    leases.put(nextLease, new Lease(ttlMs, clock.nowMs() + ttlMs));
    return nextLease++;
  }

  boolean keepAlive(long id) {
    expireLeases();
    Lease lease = leases.get(id);
    if (lease == null) {
      return false;
    }
    lease.endsMs = clock.nowMs() + lease.ttlMs;
    return true;
  }

  void endLease(long id) {
    expireLeases();
    if (leases.remove(id) != null) {
      removeKeysOf(id);
    }
  }

  void expireLeases() {
    long nowMs = clock.nowMs();
    List<Long> lapsed = new ArrayList<>();
    for (Iterator<Map.Entry<Long, Lease>> it = leases.entrySet().iterator(); it.hasNext(); ) {
      Map.Entry<Long, Lease> entry = it.next();
      if (entry.getValue().endsMs <= nowMs) {
        lapsed.add(entry.getKey());
        it.remove();
      }
    }
    lapsed.forEach(this::removeKeysOf);
  }

  private void removeKeysOf(long lease) {
    List<String> keys =
        values.entrySet().stream()
            .filter(entry -> entry.getValue().lease() == lease)
            .map(Map.Entry::getKey)
            .toList();
    keys.forEach(this::remove);
  }
}
