package io.cuminvalve.cli.story;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Finds out which target's limit a request was refused for, and how it was used then. */
final class LimitFinder {

  private static final String REASON = "target_limited";

  private final LogLine end;

  /** Creates a finder for the last line of a request. */
  LimitFinder(LogLine end) {
    this.end = end;
  }

  /** Returns what the lines say, in order; nothing if no limit was the reason. */
  List<String> causes(List<LogLine> lines) {
    List<String> causes = new ArrayList<>();
    Optional<LogLine> refusal = lastBefore(lines, "request_limited", "id", end.value("id"));
    if (!end.value("why").equals(REASON) || refusal.isEmpty()) {
      return causes;
    }
    String target = refusal.get().value("target");
    causes.add(refusal(refusal.get()));
    lastBefore(lines, "target_limit", "target", target).ifPresent(line -> causes.add(known(line)));
    lastBefore(lines, "target_limit_used", "target", target)
        .ifPresent(line -> causes.add(used(line)));
    return causes;
  }

  private static String refusal(LogLine line) {
    return "target "
        + line.value("target")
        + " takes "
        + line.shortNumber("limit_per_s")
        + " requests a second from all gateways together; the caller was told to come back after "
        + line.value("retry_after_ms")
        + " ms";
  }

  private static String known(LogLine line) {
    String source = line.has("source", "answer") ? " saw that in an answer at " : " heard that at ";
    return line.process() + source + line.time();
  }

  private static String used(LogLine line) {
    return line.process()
        + " had sent it "
        + line.value("sent")
        + " in "
        + line.value("in_ms")
        + " ms until "
        + line.time()
        + (line.has("alone", "true") ? ", without an answer of the holder" : "");
  }

  /** Returns the last line of this gateway up to the end of the request. */
  private Optional<LogLine> lastBefore(
      List<LogLine> lines, String event, String name, String value) {
    return lines.stream()
        .filter(line -> line.atMs() <= end.atMs() && line.process().equals(end.process()))
        .filter(line -> line.event().equals(event) && line.has(name, value))
        .reduce((before, after) -> after);
  }
}
