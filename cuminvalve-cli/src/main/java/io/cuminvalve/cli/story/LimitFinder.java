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
    EarlierLines earlier = new EarlierLines(lines, end);
    Optional<LogLine> refusal = earlier.last("request_limited", "id", end.value("id"));
    if (!end.value("why").equals(REASON) || refusal.isEmpty()) {
      return causes;
    }
    String target = refusal.get().value("target");
    causes.add(refusal(refusal.get()));
    earlier
        .last("target_limit", "target", target)
        .ifPresent(line -> causes.add(EarlierLines.source(line)));
    earlier.last("target_limit_used", "target", target).ifPresent(line -> causes.add(used(line)));
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
}
