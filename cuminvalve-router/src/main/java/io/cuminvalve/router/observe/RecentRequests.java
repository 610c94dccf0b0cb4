package io.cuminvalve.router.observe;

import io.cuminvalve.core.id.RequestId;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The last requests of this router, for operators who ask about one of them.
 *
 * <p>Safe for use by several threads.
 *
 * @since 0.1
 */
public final class RecentRequests {

  private final Map<RequestId, RequestRecord> records;

  /**
   * Creates an empty collection.
   *
   * @param capacity how many requests it remembers; at least 1
   */
  public RecentRequests(int capacity) {
    this.records =
        new LinkedHashMap<>() {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<RequestId, RequestRecord> eldest) {
            return size() > capacity;
          }
        };
  }

  /**
   * Adds a request that has just arrived; the oldest one is forgotten if there are too many.
   *
   * @param record its record; not null
   */
  public synchronized void add(RequestRecord record) {
    records.put(record.context().id(), record);
  }

  /**
   * Finds a request.
   *
   * @param id its identifier; not null
   * @return empty if it is unknown or forgotten
   */
  public synchronized Optional<RequestRecord> find(RequestId id) {
    return Optional.ofNullable(records.get(id));
  }
}
