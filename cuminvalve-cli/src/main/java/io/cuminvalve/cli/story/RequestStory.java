package io.cuminvalve.cli.story;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * What became of one request.
 *
 * @param id the caller's id of it; not null
 * @param outcomes how it ended, and why: one for each end; not null, not empty
 * @param causes what explains that, as far as the lines show; not null
 * @param steps what was decided on it, in order; not null, not empty
 * @param knowledge what was known at each step; not null
 * @param context what was decided on its key and its targets around it, in order; not null
 * @since 0.2
 */
public record RequestStory(
    String id,
    List<String> outcomes,
    List<String> causes,
    List<LogLine> steps,
    List<Knowledge> knowledge,
    List<LogLine> context) {

  private static final Map<String, Function<LogLine, String>> ENDS =
      Map.of(
          "request_served", end -> "served by " + end.value("target"),
          "request_failed_at_target",
              end -> "target " + end.value("target") + " answered " + end.value("why"),
          "caller_gone", end -> "the caller left",
          "request_refused",
              end -> "refused with " + end.value("status") + ": " + Reasons.of(end.value("why")),
          "request_given_up",
              end -> verdictOf(end.value("status")) + ": " + Reasons.of(end.value("why")));

  /** Copies the lists. */
  public RequestStory {
    outcomes = List.copyOf(outcomes);
    causes = List.copyOf(causes);
    steps = List.copyOf(steps);
    knowledge = List.copyOf(knowledge);
    context = List.copyOf(context);
  }

  /**
   * Finds the story of a request.
   *
   * @param id its id; not null
   * @param lines all decisions, in the order of their times; not null
   * @return never null
   * @throws CodedException with code INVALID_INPUT if no line names it
   */
  public static RequestStory of(String id, List<LogLine> lines) {
    List<LogLine> steps = lines.stream().filter(line -> line.has("id", id)).toList();
    if (steps.isEmpty()) {
      throw new CodedException(ErrorCode.INVALID_INPUT, notFound(id, lines));
    }
    return new RequestStory(
        id,
        outcomes(steps),
        new CauseFinder(steps, lines).causes(),
        steps,
        KnowledgeFinder.at(steps, lines),
        new ContextFinder(steps).find(lines));
  }

  /**
   * Returns the steps and the context together.
   *
   * @return in the order of their times; never null
   */
  public List<LogLine> inOrder() {
    return LogFiles.inOrder(Stream.concat(context.stream(), steps.stream()).toList());
  }

  /** Tells whether a line ends a request; what a target does may be logged after it. */
  static boolean isEnd(LogLine line) {
    return ENDS.containsKey(line.event());
  }

  private static List<String> outcomes(List<LogLine> steps) {
    List<String> outcomes =
        steps.stream().filter(RequestStory::isEnd).map(RequestStory::outcomeOf).toList();
    return outcomes.isEmpty() ? List.of("no line shows its end") : outcomes;
  }

  private static String outcomeOf(LogLine end) {
    String after =
        end.values().containsKey("age_ms") ? " after " + end.value("age_ms") + " ms" : "";
    return end.time() + " " + end.process() + after + ": " + ENDS.get(end.event()).apply(end);
  }

  private static String verdictOf(String status) {
    return "answered " + status + (status.equals("503") ? ", it has not run" : ", it may have run");
  }

  private static String notFound(String id, List<LogLine> lines) {
    Set<String> processes = lines.stream().map(LogLine::process).collect(Collectors.toSet());
    long suppressed =
        lines.stream()
            .filter(line -> line.event().equals("log_suppressed"))
            .mapToLong(line -> line.number("lines"))
            .sum();
    return "no line of "
        + processes.size()
        + " process(es) names request "
        + id
        + "; "
        + suppressed
        + " line(s) were suppressed";
  }
}
