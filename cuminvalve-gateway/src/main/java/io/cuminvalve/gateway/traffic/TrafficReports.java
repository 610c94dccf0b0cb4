package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.FleetMessage;
import io.cuminvalve.core.protocol.TargetReplaced;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * What traffic measured, for the holder of the term.
 *
 * @since 0.2
 */
public final class TrafficReports {

  private final KeyLoadMeter keyWork;
  private final Dispatcher dispatcher;
  private final TargetQuotas quotas;
  private final TargetBackoffs rests;
  private final TargetDepartures departures;
  private final RequestQuarantine quarantine;
  private final CrashDetector witness;

  TrafficReports(
      KeyLoadMeter keyWork,
      Dispatcher dispatcher,
      TargetQuotas quotas,
      TargetBackoffs rests,
      TargetDepartures departures,
      RequestQuarantine quarantine,
      CrashDetector witness) {
    this.keyWork = keyWork;
    this.dispatcher = dispatcher;
    this.quotas = quotas;
    this.rests = rests;
    this.departures = departures;
    this.quarantine = quarantine;
    this.witness = witness;
  }

  /**
   * Returns which requests are sent to no target.
   *
   * @return never null
   */
  public RequestQuarantine quarantine() {
    return quarantine;
  }

  /**
   * Returns the limits that targets name.
   *
   * @return never null
   */
  public TargetQuotas quotas() {
    return quotas;
  }

  /**
   * Returns who notices that targets leave.
   *
   * @return never null
   */
  public TargetDepartures departures() {
    return departures;
  }

  /**
   * Sets who is told of requests under which a target ended, at once.
   *
   * @param listener called on any thread; must not block; not null
   */
  public void onCrash(Consumer<List<BrokenAttempt>> listener) {
    witness.onCrash(listener);
  }

  /**
   * Takes the work of keys since the last call.
   *
   * @return never null
   */
  public List<FleetMessage> takeKeyLoad() {
    return new ArrayList<>(keyWork.take());
  }

  /**
   * Takes the rests that have begun since the last call.
   *
   * @return what is left of them; milliseconds by target; never null
   */
  public Map<TargetId, Long> takeStartedBackoffsMs() {
    return rests.takeBegun();
  }

  /**
   * Returns for how long this gateway still leaves targets alone that have asked for rest.
   *
   * @return milliseconds by target; never null
   */
  public Map<TargetId, Long> backoffsMs() {
    return rests.all();
  }

  /**
   * Takes the times of targets since the last call.
   *
   * @return never null
   */
  public FleetMessage takeTargetTimes() {
    return dispatcher.takeTimes();
  }

  /**
   * Takes the targets that were found replaced by others since the last call.
   *
   * @return never null
   */
  public List<FleetMessage> takeReplacedTargets() {
    List<FleetMessage> result = new ArrayList<>();
    dispatcher.takeReplaced().forEach(target -> result.add(new TargetReplaced(target)));
    return result;
  }
}
