package io.cuminvalve.load.replay;

import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.replay.ReplayOutcome;
import io.cuminvalve.core.replay.ReplayReport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares a replay with stated outcomes.
 *
 * @since 0.1
 */
public final class ReplayCheck {

  private ReplayCheck() {}

  /**
   * Compares. Requests without a stated outcome are not compared.
   *
   * @param report the replay; not null
   * @param expected the stated outcomes; not null
   * @return one line for each difference; empty if all agree
   */
  public static List<String> differences(ReplayReport report, List<ExpectedOutcome> expected) {
    Map<RequestId, ExpectedOutcome> found = new HashMap<>();
    report.outcomes().forEach(outcome -> found.put(outcome.request(), summary(outcome)));
    List<String> differences = new ArrayList<>();
    for (ExpectedOutcome wanted : expected) {
      ExpectedOutcome actual = found.get(wanted.request());
      if (!wanted.equals(actual)) {
        differences.add("expected " + wanted + " but got " + actual);
      }
    }
    if (report.mostInFlight() > 1) {
      differences.add("slots exceeded: " + report.mostInFlight() + " requests per slot");
    }
    return differences;
  }

  private static ExpectedOutcome summary(ReplayOutcome outcome) {
    return new ExpectedOutcome(
        outcome.request(),
        outcome.outcome().end(),
        outcome.outcome().verdict(),
        outcome.outcome().reason(),
        outcome.runs());
  }
}
