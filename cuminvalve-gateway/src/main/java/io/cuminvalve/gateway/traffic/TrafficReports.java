package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.FleetMessage;
import io.cuminvalve.core.protocol.TargetReplaced;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Collects the measurements of the traffic for the holder of the term.
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
  private final ReachMonitor reach;
  private final Supplier<String> relayAddress;

  TrafficReports(
      KeyLoadMeter keyLoad,
      Dispatcher dispatcher,
      TargetQuotas quotas,
      TargetBackoffs backoffs,
      TargetDepartures departures,
      RequestQuarantine quarantine,
      CrashDetector crashDetector,
      ReachMonitor reach,
      Supplier<String> relayAddress) {
    this.keyLoad = keyLoad;
    this.dispatcher = dispatcher;
    this.quotas = quotas;
    this.backoffs = backoffs;
    this.departures = departures;
    this.quarantine = quarantine;
    this.crashDetector = crashDetector;
    this.reach = reach;
    this.relayAddress = relayAddress;
  }

  /**
   * Returns the quarantine of requests that crash targets.
   *
   * @return never null
   */
  public RequestQuarantine quarantine() {
    return quarantine;
  }

  /**
   * Returns the rate limits of targets.
   *
   * @return never null
   */
  public TargetQuotas quotas() {
    return quotas;
  }

  /**
   * Returns the tracker of leaving targets.
   *
   * @return never null
   */
  public TargetDepartures departures() {
    return departures;
  }

  /**
   * Sets the listener for requests during which a target ended, called without delay.
   *
   * @param listener called on any thread; must not block; not null
   */
  public void onCrash(Consumer<List<BrokenAttempt>> listener) {
    crashDetector.onCrash(listener);
  }

  /**
   * Returns the load of keys since the last call.
   *
   * @return never null
   */
  public List<FleetMessage> takeKeyLoad() {
    return new ArrayList<>(keyLoad.take());
  }

  /**
   * Returns the back-offs started since the last call.
   *
   * @return the remaining milliseconds by target; never null
   */
  public Map<TargetId, Long> takeStartedBackoffsMs() {
    return backoffs.takeStarted();
  }

  /**
   * Returns the remaining time of all current back-offs.
   *
   * @return the remaining milliseconds by target; never null
   */
  public Map<TargetId, Long> backoffsMs() {
    return backoffs.remainingMsByTarget();
  }

  /**
   * Returns the relative response times of targets since the last call.
   *
   * @return never null
   */
  public FleetMessage takeTargetLatencies() {
    return dispatcher.takeLatencies();
  }

  /**
   * Returns the estimated wait of the request that was estimated last for scarce places.
   *
   * @return milliseconds; 0 if none was estimated
   */
  public long waitEstimateMs() {
    return dispatcher.latestEstimateMs();
  }

  /**
   * Returns which targets this gateway can reach.
   *
   * @return never null
   */
  public ReachMonitor reach() {
    return reach;
  }

  /**
   * Returns where this gateway takes requests from gateways that have no path to targets.
   *
   * @return IP address and port; empty if it takes none; never null
   */
  public String relayAddress() {
    return relayAddress.get();
  }

  /**
   * Returns the targets found replaced since the last call.
   *
   * @return never null
   */
  public List<FleetMessage> takeReplacedTargets() {
    List<FleetMessage> result = new ArrayList<>();
    dispatcher.takeReplaced().forEach(target -> result.add(new TargetReplaced(target)));
    return result;
  }
}
