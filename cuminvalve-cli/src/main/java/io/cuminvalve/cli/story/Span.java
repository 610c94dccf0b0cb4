package io.cuminvalve.cli.story;

/**
 * A time between two lines.
 *
 * @param since the time of day at which it begins; not null
 * @param until the time of day at which it is over at the latest; a dash if no line shows it; not
 *     null
 * @param sinceMs where it begins on the axis of all lines; milliseconds
 * @param lengthMs how long it is; -1 if no line shows its end
 * @since 0.2
 */
public record Span(String since, String until, long sinceMs, long lengthMs) {

  static Span between(LogLine first, LogLine last) {
    return new Span(first.time(), last.time(), first.atMs(), last.atMs() - first.atMs());
  }

  static Span from(LogLine first) {
    return new Span(first.time(), LogLine.NONE, first.atMs(), -1);
  }

  /** Tells whether it has a moment in common with the time in which a request was there. */
  boolean meets(LogLine end) {
    boolean ended = lengthMs >= 0 && sinceMs + lengthMs < end.arrivedMs();
    return sinceMs <= end.atMs() && !ended;
  }

  /**
   * Returns it as part of a sentence.
   *
   * @return never null
   */
  public String text() {
    return "since " + since + (until.equals(LogLine.NONE) ? "" : " until " + until);
  }
}
