package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.TargetObservation;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The latest observation of each target since the last report.
 *
 * @since 0.1
 */
public final class ObservationLog {

  private final Map<TargetId, TargetObservation> latest = new LinkedHashMap<>();

  /**
   * Records an observation; it replaces an earlier one of the same target.
   *
   * @param observation the observation; not null
   */
  public void add(TargetObservation observation) {
    latest.put(observation.target(), observation);
  }

  /**
   * Takes everything out.
   *
   * @return the observations; not null
   */
  public List<TargetObservation> drain() {
    List<TargetObservation> observations = List.copyOf(latest.values());
    latest.clear();
    return observations;
  }
}
