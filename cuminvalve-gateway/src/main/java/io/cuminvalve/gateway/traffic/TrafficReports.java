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

  private final KeyLoadMeter keyLoad;
  private final Dispatcher dispatcher;
  private final TargetQuotas quotas;
  private final TargetBackoffs backoffs;
  private final TargetDepartures departures;
  private final RequestQuarantine quarantine;
  private final CrashDetector crashDetector;

  TrafficReports(
      KeyLoadMeter keyLoad,
      Dispatcher dispatcher,
      TargetQuotas quotas,
      TargetBackoffs backoffs,
      TargetDepartures departures,
      RequestQuarantine quarantine,
      CrashDetector crashDetector) {
    this.keyLoad = keyLoad;
    this.dispatcher = dispatcher;
    this.quotas = quotas;
    this.backoffs = backoffs;
    this.departures = departures;
    this.quarantine = quarantine;
    this.crashDetector = crashDetector;
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
    crashDetector.onCrash(listener);
  }

  /**
   * Takes the work of keys since the last call.
   *
   * @return never null
   */
  public List<FleetMessage> takeKeyLoad() {
    return new ArrayList<>(keyLoad.take());
  }

  /**
   * Takes the rests that have begun since the last call.
   *
   * @return what is left of them; milliseconds by target; never null
   */
  public Map<TargetId, Long> takeStartedBackoffsMs() {
    return backoffs.takeStarted();
  }

  /**
   * Returns for how long this gateway still leaves targets alone that have asked for rest.
   *
   * @return milliseconds by target; never null
   */
  public Map<TargetId, Long> backoffsMs() {
    return backoffs.remainingMsByTarget();
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
