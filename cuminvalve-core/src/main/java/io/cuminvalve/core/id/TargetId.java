package io.cuminvalve.core.id;

/**
 * Identifies a target, which is one instance of a service. If targets report their start time, the
 * id identifies one run of the instance.
 *
 * <p>A target may restart under the same name. It then has none of its previous state, so the two
 * runs are different targets with different ids.
 *
 * @param value the name, 1 to 128 letters, digits and {@code . _ : -}, starting with a letter or
 *     digit; for a specific run, followed by {@code @} and the start time of that run
 * @since 0.1
 */
public record TargetId(String value) implements Comparable<TargetId> {

  private static final char START_SEPARATOR = '@';

  /**
   * Checks the value.
   *
   * @throws io.cuminvalve.kernel.CodedException with code INVALID_INPUT if the form is wrong
   */
  public TargetId {
    int separator = value == null ? -1 : value.indexOf(START_SEPARATOR);
    Identifiers.check(separator < 0 ? value : value.substring(0, separator), "TargetId");
    if (separator >= 0) {
      Identifiers.checkNumber(value.substring(separator + 1), "TargetId");
    }
  }

  /**
   * Identifies one run of a target.
   *
   * @param name the name of the target on the wire, the same for all its runs; not null
   * @param startedMs start time of the run on its own clock; Unix time, milliseconds
   * @return never null
   * @throws io.cuminvalve.kernel.CodedException with code INVALID_INPUT if the form is wrong
   */
  public static TargetId ofRun(String name, long startedMs) {
    return new TargetId(name + START_SEPARATOR + startedMs);
  }

  /**
   * Returns the name of the target on the wire.
   *
   * @return the same for all its runs; never null
   */
  public String name() {
    int separator = value.indexOf(START_SEPARATOR);
    return separator < 0 ? value : value.substring(0, separator);
  }

  /**
   * Returns whether the other id identifies an earlier run of the same target.
   *
   * @param other the other id; not null
   * @return false for the same run, and if the start of this run is unknown
   */
  public boolean isLaterRunOf(TargetId other) {
    return !equals(other) && name().equals(other.name()) && startedMs() > other.startedMs();
  }

  private long startedMs() {
    int separator = value.indexOf(START_SEPARATOR);
    return separator < 0 ? 0 : Long.parseLong(value.substring(separator + 1));
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
