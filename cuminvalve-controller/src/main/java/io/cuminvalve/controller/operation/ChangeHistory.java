package io.cuminvalve.controller.operation;

import io.cuminvalve.config.admin.ChangeRecord;
import io.cuminvalve.core.id.CellId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/**
 * The last changes, in memory only. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class ChangeHistory {

  private final int capacity;
  private final ArrayDeque<ChangeRecord> changes = new ArrayDeque<>();

  /**
   * Creates an empty history.
   *
   * @param capacity how many changes to remember; at least 1
   */
  public ChangeHistory(int capacity) {
    this.capacity = capacity;
  }

  /**
   * Adds a change; the oldest is forgotten if there are too many.
   *
   * @param change the change; not null
   */
  public synchronized void add(ChangeRecord change) {
    if (changes.size() == capacity) {
      changes.removeFirst();
    }
    changes.addLast(change);
  }

  /**
   * Returns what is remembered.
   *
   * @param cell only changes of this cell, if given; not null
   * @return newest first, never null
   */
  public synchronized List<ChangeRecord> list(Optional<CellId> cell) {
    List<ChangeRecord> list = new ArrayList<>();
    Iterator<ChangeRecord> newestFirst = changes.descendingIterator();
    while (newestFirst.hasNext()) {
      ChangeRecord change = newestFirst.next();
      if (cell.isEmpty() || change.cell().equals(cell.get())) {
        list.add(change);
      }
    }
    return list;
  }
}
