package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.id.TargetId;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/**
 * Detects the first response in which a target announces that it leaves.
 *
 * <p>This gateway treats the target as leaving at once, the fleet after the control thread has
 * reported it. Configured by the control thread, used by any thread.
 *
 * @since 0.2
 */
public final class TargetDepartures {

  private final RoutingState state;
  private final Set<TargetId> unreported = ConcurrentHashMap.newKeySet();
  private volatile Consumer<TargetId> onSeen = target -> {};

  TargetDepartures(RoutingState state) {
    this.state = state;
    state.onChange(this::forgetReported);
  }

  private void forgetReported() {
    RoutingSnapshot known = state.current();
    unreported.removeIf(
        target -> known.leaving().contains(target) || known.target(target).isEmpty());
  }

  /**
   * Sets the listener for targets that announce that they leave.
   *
   * @param listener called on any thread, possibly several times per target; must not block; not
   *     null
   */
  public void onSeen(Consumer<TargetId> listener) {
    onSeen = listener;
  }

  /**
   * Records that a target announced that it leaves.
   *
   * @param target the run of the target; not null
   */
  public void onLeaving(TargetId target) {
    if (!isLeaving(target)) {
      unreported.add(target);
      onSeen.accept(target);
    }
  }

  /**
   * Returns whether a target is known to have announced, to any gateway, that it leaves.
   *
   * @param target the run of the target; not null
   * @return false also if this gateway does not know yet
   */
  boolean isLeaving(TargetId target) {
    return unreported.contains(target) || state.current().leaving().contains(target);
  }
}
