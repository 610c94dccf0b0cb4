package io.cuminvalve.core.fleet;

import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.kernel.UpperTime;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The data centres that operators have evacuated, with the earliest time at which they may have
 * done so.
 *
 * <p>Targets in an evacuated data centre get no requests. The owners of keys are an exception for a
 * short time, so that each key is served until it has moved. Immutable.
 *
 * @since 0.2
 */
public final class Evacuations {

  /** No data centre is evacuated, and none was. */
  public static final Evacuations NONE = new Evacuations(Map.of(), Map.of());

  private final Map<DataCentreId, UpperTime> since;
  private final Map<DataCentreId, Long> endedMs;

  private Evacuations(Map<DataCentreId, UpperTime> since, Map<DataCentreId, Long> endedMs) {
    this.since = Map.copyOf(since);
    this.endedMs = Map.copyOf(endedMs);
  }

  /**
   * Returns the state after operators have changed which data centres are evacuated.
   *
   * @param evacuated all evacuated data centres; not null
   * @param earliest the latest time at which the earlier state is known to have been in force; not
   *     null
   * @param nowMs the current time; milliseconds
   * @return never null
   */
  public Evacuations with(Collection<DataCentreId> evacuated, UpperTime earliest, long nowMs) {
    Map<DataCentreId, UpperTime> nextSince = new HashMap<>();
    evacuated.forEach(id -> nextSince.put(id, since.getOrDefault(id, earliest)));
    Map<DataCentreId, Long> nextEndedMs = new HashMap<>(endedMs);
    since.keySet().forEach(id -> nextEndedMs.put(id, nowMs));
    nextEndedMs.keySet().removeAll(evacuated);
    return new Evacuations(nextSince, nextEndedMs);
  }

  /**
   * Returns the evacuated data centres.
   *
   * @return never null
   */
  public Set<DataCentreId> dataCentres() {
    return since.keySet();
  }

  /**
   * Returns whether a data centre is evacuated.
   *
   * @param dataCentre the data centre; not null
   * @return true from the moment at which this process has learned of it
   */
  public boolean includes(DataCentreId dataCentre) {
    return since.containsKey(dataCentre);
  }

  /**
   * Returns whether the owner of a key may get requests for it.
   *
   * @param dataCentre the data centre of the owner; not null
   * @param now the current time; not null
   * @param graceMs for how long owners continue after the evacuation; milliseconds
   * @return true also for a short time after the earliest moment of the evacuation
   */
  public boolean permitsOwner(DataCentreId dataCentre, UpperTime now, long graceMs) {
    UpperTime evacuated = since.get(dataCentre);
    return evacuated == null || now.sinceMs(evacuated) <= graceMs;
  }

  /**
   * Returns when the last evacuation of a data centre ended.
   *
   * @param dataCentre the data centre; not null
   * @return milliseconds; empty if it is evacuated or never was
   */
  public OptionalLong endedMs(DataCentreId dataCentre) {
    Long atMs = endedMs.get(dataCentre);
    return atMs == null ? OptionalLong.empty() : OptionalLong.of(atMs);
  }
}
