package io.cuminvalve.gateway.control;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.gateway.GatewayPorts;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.traffic.RoutingState;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.MillisClock;
import java.util.List;
import java.util.Optional;

/**
 * Follows the registry of targets directly while this gateway receives no targets from the holder.
 * Confined to the control thread.
 */
final class FallbackRegistryFollower {

  private final GatewayPorts ports;
  private final RoutingState state;
  private final ControlThread control;
  private final MillisClock clock;
  private final DecisionLog log;
  private volatile Optional<RegistryFollower> follower = Optional.empty();

  FallbackRegistryFollower(
      GatewayPorts ports,
      RoutingState state,
      ControlThread control,
      MillisClock clock,
      DecisionLog log) {
    this.ports = ports;
    this.state = state;
    this.control = control;
    this.clock = clock;
    this.log = log;
  }

  boolean isOpen() {
    return follower.isPresent();
  }

  void open() {
    RegistryFollower opened =
        new RegistryFollower(
            ports.registry(),
            control,
            clock,
            log,
            List.copyOf(state.current().targets()),
            state.targetsConfirmed(),
            this::onTargets);
    follower = Optional.of(opened);
    opened.start();
  }

  void close() {
    follower.ifPresent(RegistryFollower::close);
    follower = Optional.empty();
  }

  /** Updates the confirmation time of the targets, if this follower is open. */
  void confirmTargets() {
    follower.ifPresent(current -> state.confirmTargets(current.confirmed()));
  }

  /** Returns whether the store does not respond to this gateway. Thread-safe. */
  boolean isSilent() {
    return follower.filter(RegistryFollower::isSilent).isPresent();
  }

  private void onTargets() {
    follower.ifPresent(
        current -> {
          List<FleetTarget> targets = current.register().all();
          state.update(snapshot -> snapshot.withTargets(targets));
          state.confirmTargets(current.confirmed());
        });
  }
}
