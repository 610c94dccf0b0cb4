package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.core.table.TableVersion;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds out, after a start, at least what the last run of this router may have confirmed.
 *
 * <p>Either a majority of the full witness set, itself not counted, answers that it knows nothing
 * newer than the installed table; or the holder does, after it read its own term back from the
 * store. Only replies to requests of this run count. If a reply shows a newer version, that table
 * is fetched first and its own witnesses count, so that an old witness set cannot mislead.
 *
 * @since 0.1
 */
public final class Learner {

  private final RouterId self;
  private final Map<RouterId, Known> replies = new HashMap<>();
  private Known fromHolder;
  private boolean learned;

  /**
   * Creates the learner of a router that just started.
   *
   * @param self the router; not null
   * @param rules the safety rules; not null
   */
  public Learner(RouterId self, SafetyRules rules) {
    this.self = self;
    this.learned = !rules.learnBeforeSpeaking();
  }

  /**
   * Tells whether the router has caught up.
   *
   * @return true once and for all
   */
  public boolean isLearned() {
    return learned;
  }

  /**
   * Records the answer of a witness that has learned.
   *
   * @param witness the witness; not null
   * @param version the newest version it knows; not null
   * @param term the highest term it has seen
   */
  public void onWitness(RouterId witness, TableVersion version, long term) {
    replies.put(witness, new Known(version, term));
  }

  /**
   * Records the answer of the holder.
   *
   * @param version the newest version it issued; not null
   * @param term its term
   */
  public void onHolder(TableVersion version, long term) {
    if (fromHolder == null || term >= fromHolder.term) {
      fromHolder = new Known(version, term);
    }
  }

  /**
   * Finishes if enough is known about the installed table.
   *
   * @param table the installed table; null if there is none
   * @return the highest term learned, or -1 if it is not finished or was before
   */
  public long tryFinish(ShardTable table) {
    if (learned || table == null) {
      return -1;
    }
    long term = termIfCurrent(table);
    learned = term >= 0;
    return term;
  }

  private long termIfCurrent(ShardTable table) {
    if (fromHolder != null && !fromHolder.version.isNewerThan(table.version())) {
      return fromHolder.term;
    }
    List<RouterId> witnesses = table.witnesses();
    long highestTerm = table.version().term();
    int current = 0;
    for (RouterId witness : witnesses) {
      Known known = witness.equals(self) ? null : replies.get(witness);
      if (known == null) {
        continue;
      }
      if (known.version.isNewerThan(table.version())) {
        return -1;
      }
      current++;
      highestTerm = Math.max(highestTerm, known.term);
    }
    return !witnesses.isEmpty() && current >= Majority.of(witnesses.size()) ? highestTerm : -1;
  }

  private record Known(TableVersion version, long term) {}
}
