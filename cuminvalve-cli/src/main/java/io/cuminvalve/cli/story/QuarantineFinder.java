package io.cuminvalve.cli.story;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Finds out why a request was sent to no target: which targets ended under requests like it.
 *
 * <p>A request's line has two fingerprints, of its content and of content and caller; a quarantine
 * names one of them.
 */
final class QuarantineFinder {

  private static final String REASON = "quarantined";
  private static final String FINGERPRINT = "fingerprint";

  private final LogLine end;
  private final Set<String> fingerprints;

  /** Creates a finder for the last line of a request. */
  QuarantineFinder(LogLine end) {
    this.end = end;
    this.fingerprints = partsOf(end);
  }

  /** Returns what the lines say, in order; nothing if the request was not in quarantine. */
  List<String> causes(List<LogLine> lines) {
    List<String> causes = new ArrayList<>();
    if (!end.value("why").equals(REASON)) {
      return causes;
    }
    for (LogLine line : lines) {
      if (line.atMs() > end.atMs() || !isLikeIt(line)) {
        continue;
      }
      if (line.event().equals("target_ended_under_request")) {
        causes.add(crash(line));
      } else if (line.event().equals("request_quarantined") && isOfItsGateway(line)) {
        causes.add(quarantine(line));
      }
    }
    return causes;
  }

  private static String crash(LogLine line) {
    return "target "
        + line.value("target")
        + " ended under a request like it, "
        + line.value("id")
        + ", as "
        + line.process()
        + " found at "
        + line.time();
  }

  private static String quarantine(LogLine line) {
    return line.process()
        + " sent such requests to no target from "
        + line.time()
        + " on, for "
        + line.value("for_ms")
        + " ms, after "
        + line.value("crashes")
        + " crashes";
  }

  private boolean isOfItsGateway(LogLine line) {
    return line.process().equals(end.process());
  }

  private boolean isLikeIt(LogLine line) {
    return partsOf(line).stream().anyMatch(fingerprints::contains);
  }

  private static Set<String> partsOf(LogLine line) {
    if (!line.values().containsKey(FINGERPRINT)) {
      return Set.of();
    }
    return new HashSet<>(Arrays.asList(line.value(FINGERPRINT).split("\\.", -1)));
  }
}
