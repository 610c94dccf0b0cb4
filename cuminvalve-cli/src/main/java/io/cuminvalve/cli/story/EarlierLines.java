package io.cuminvalve.cli.story;

import java.util.List;
import java.util.Optional;

/** The lines of one gateway up to the end of a request there. */
final class EarlierLines {

  private final List<LogLine> lines;

  /** Selects lines, which are in order. */
  EarlierLines(List<LogLine> all, LogLine end) {
    this.lines =
        all.stream()
            .filter(line -> line.atMs() <= end.atMs() && line.process().equals(end.process()))
            .toList();
  }

  /** Returns the last line of an event with a value. */
  Optional<LogLine> last(String event, String name, String value) {
    return lines.stream()
        .filter(line -> line.event().equals(event) && line.has(name, value))
        .reduce((before, after) -> after);
  }

  /** Returns all lines of an event. */
  List<LogLine> all(String event) {
    return lines.stream().filter(line -> line.event().equals(event)).toList();
  }

  /** Says how the gateway of a line came to know what the line tells. */
  static String source(LogLine line) {
    String source = line.has("source", "answer") ? " saw that in an answer at " : " heard that at ";
    return line.process() + source + line.time();
  }
}
