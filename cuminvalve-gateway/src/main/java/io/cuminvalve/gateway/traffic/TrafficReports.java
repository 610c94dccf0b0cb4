package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.protocol.FleetMessage;
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
}
