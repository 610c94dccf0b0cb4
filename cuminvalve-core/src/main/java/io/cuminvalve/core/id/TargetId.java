package io.cuminvalve.core.id;

/**
 * Identifies a target, one instance of a service; where targets tell when they started, one run of
 * it.
 *
 * <p>A target may start again under the name that it had. Then it holds and knows nothing of
 * before, so the two runs are different targets with different ids.
 *
 * @param value the name, 1 to 128 letters, digits and {@code . _ : -}, starting with a letter or
 *     digit; for one run of it, followed by {@code @} and the start of that run
 * @since 0.1
 */
public record TargetId(String value) implements Comparable<TargetId> {

  private static final char START_MARK = '@';

  /**
   * Checks the value.
   *
   * @throws io.cuminvalve.kernel.CodedException with code INVALID_INPUT if the form is wrong
   */
  public TargetId {
    int mark = value == null ? -1 : value.indexOf(START_MARK);
    Identifiers.check(mark < 0 ? value : value.substring(0, mark), "TargetId");
    if (mark >= 0) {
      Identifiers.checkNumber(value.substring(mark + 1), "TargetId");
    }
  }

  /**
   * Identifies one run of a target.
   *
   * @param name names the target on the wire; the same for all its runs; not null
   * @param startedMs when the run started, by its own clock; Unix time, milliseconds
   * @return never null
   * @throws io.cuminvalve.kernel.CodedException with code INVALID_INPUT if the form is wrong
   */
  public static TargetId ofRun(String name, long startedMs) {
    return new TargetId(name + START_MARK + startedMs);
  }

  /**
   * Returns by which name the target is known on the wire.
   *
   * @return the same for all its runs; never null
   */
  public String name() {
    int mark = value.indexOf(START_MARK);
    return mark < 0 ? value : value.substring(0, mark);
  }

  /**
   * Tells whether another id means a run of the same target that started earlier.
   *
   * @param other the other id; not null
   * @return false for the same run, and for one whose start is not known
   */
  public boolean isLaterRunOf(TargetId other) {
    return !equals(other) && name().equals(other.name()) && startedMs() > other.startedMs();
  }

  private long startedMs() {
    int mark = value.indexOf(START_MARK);
    return mark < 0 ? 0 : Long.parseLong(value.substring(mark + 1));
  }

  @Override
  public int compareTo(TargetId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
