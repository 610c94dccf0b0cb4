package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.protocol.FleetMessage;
import io.cuminvalve.core.protocol.TargetReplaced;
import java.util.ArrayList;
import java.util.List;

/**
 * What traffic measured, for the holder of the term.
 *
 * @since 0.2
 */
public final class TrafficReports {

  private final KeyWorkMeter keyWork;
  private final Dispatcher dispatcher;

  TrafficReports(KeyWorkMeter keyWork, Dispatcher dispatcher) {
    this.keyWork = keyWork;
    this.dispatcher = dispatcher;
  }

  /**
   * Takes the work of keys since the last call.
   *
   * @return never null
   */
  public List<FleetMessage> takeKeyWork() {
    return new ArrayList<>(keyWork.take());
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
