package io.cuminvalve.config.document;

/**
 * One entry that differs between two configurations.
 *
 * @param kind whether it was added, removed, changed or moved; not null
 * @param entry its list and identifier, such as {@code instance claims-03}; not null
 * @param detail which fields changed from what to what; not null, may be empty
 * @since 0.1
 */
public record ConfigurationChange(Kind kind, String entry, String detail) {

  /** How an entry differs. */
  public enum Kind {
    /** Only the newer configuration has it. */
    ADDED,
    /** Only the older configuration has it. */
    REMOVED,
    /** Some of its fields differ. */
    CHANGED,
    /** It stands at another place of an ordered list. */
    MOVED
  }

  @Override
  public String toString() {
    return kind + " " + entry + (detail.isEmpty() ? "" : ": " + detail);
  }
}
