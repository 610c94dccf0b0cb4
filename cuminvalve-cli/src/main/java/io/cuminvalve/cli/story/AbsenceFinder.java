package io.cuminvalve.cli.story;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Finds out which target was not to be asked when a request was refused: one that had asked for
 * rest, or one that was leaving.
 */
final class AbsenceFinder {

  private static final String RESTING = "target_resting";
  private static final String STUCK_KEY = "key_stuck";
  private static final String LEAVING_OWNER = "owner_leaving";

  private final LogLine end;

  /** Creates a finder for the last line of a request. */
  AbsenceFinder(LogLine end) {
    this.end = end;
  }

  /** Returns what the lines say, in order; nothing if that was not the reason. */
  List<String> causes(List<LogLine> lines) {
    EarlierLines earlier = new EarlierLines(lines, end);
    return switch (end.value("why")) {
      case RESTING -> rest(earlier);
      case STUCK_KEY -> stuckKey(earlier);
      case LEAVING_OWNER -> departures(earlier);
      default -> List.of();
    };
  }

  private List<String> rest(EarlierLines earlier) {
    List<String> causes = new ArrayList<>();
    Optional<LogLine> refusal = earlier.last("request_held_off", "id", end.value("id"));
    refusal.ifPresent(
        line -> {
          String target = line.value("target");
          causes.add("target " + target + " had asked the gateway for rest" + comeBack(line));
          earlier
              .last("target_rest", "target", target)
              .ifPresent(
                  begin ->
                      causes.add(
                          "the rest began at "
                              + begin.time()
                              + " and was to last "
                              + begin.value("rest_ms")
                              + " ms"));
        });
    return causes;
  }

  private List<String> stuckKey(EarlierLines earlier) {
    List<String> causes = new ArrayList<>();
    Optional<LogLine> refusal = earlier.last("request_key_stuck", "id", end.value("id"));
    refusal.ifPresent(
        line -> {
          String target = line.value("target");
          causes.add(
              "its owner "
                  + target
                  + " could not run it, and no key could move, since the store did not answer the"
                  + " holder of the term"
                  + comeBack(line));
          earlier
              .last("target_leaving", "target", target)
              .ifPresent(left -> causes.add(departure(left)));
        });
    return causes;
  }

  /** The line names no target: all that had said so before may be meant. */
  private static List<String> departures(EarlierLines earlier) {
    return earlier.all("target_leaving").stream().map(AbsenceFinder::departure).toList();
  }

  private static String departure(LogLine line) {
    return "target "
        + line.value("target")
        + " had said that it leaves; "
        + EarlierLines.source(line);
  }

  private static String comeBack(LogLine refusal) {
    return "; the caller was told to come back after " + refusal.value("retry_after_ms") + " ms";
  }
}
