package io.cuminvalve.core.table;

/**
 * A version of the shard table of one cell.
 *
 * <p>A version written to the store has activation 0. Activations count the standby takeovers that
 * the term holder orders while the store is unavailable.
 *
 * @param term the term of the holder that issued it
 * @param sequence the number of the write within the term
 * @param activation the number of the standby activation after that write
 * @since 0.1
 */
public record TableVersion(long term, long sequence, long activation)
    implements Comparable<TableVersion> {

  /** The version of a table that was never written. */
  public static final TableVersion NONE = new TableVersion(0, 0, 0);

  /**
   * Returns the version of the next write to the store.
   *
   * @return the same term, the next sequence, no activation
   */
  public TableVersion nextWrite() {
    return new TableVersion(term, sequence + 1, 0);
  }

  /**
   * Returns the version of the next standby activation.
   *
   * @return the same term and sequence, the next activation
   */
  public TableVersion nextActivation() {
    return new TableVersion(term, sequence, activation + 1);
  }

  /**
   * Returns whether this version is newer than another.
   *
   * @param other the other version; not null
   * @return true if this one is strictly newer
   */
  public boolean isNewerThan(TableVersion other) {
    return compareTo(other) > 0;
  }

  @Override
  public int compareTo(TableVersion other) {
    int byTerm = Long.compare(term, other.term);
    if (byTerm != 0) {
      return byTerm;
    }
    int bySequence = Long.compare(sequence, other.sequence);
    return bySequence != 0 ? bySequence : Long.compare(activation, other.activation);
  }

  @Override
  public String toString() {
    return term + "." + sequence + "." + activation;
  }
}
