package io.cuminvalve.core.replay;

import java.util.List;

/**
 * The result of a replay.
 *
 * @param outcomes one for each request, in the order of their arrival; not null
 * @param mostInFlight the most requests in flight at one target per slot of it, over all routers
 *     together; at most 1 while the limit holds
 * @since 0.1
 */
public record ReplayReport(List<ReplayOutcome> outcomes, double mostInFlight) {

  /** Copies the list. */
  public ReplayReport {
    outcomes = List.copyOf(outcomes);
  }
}
