package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.id.TargetId;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Notices the first answer in which a target says that it leaves.
 *
 * <p>Set by the control thread, used by all.
 *
 * @since 0.2
 */
public final class TargetDepartures {

  private final RoutingState state;
  private volatile Consumer<TargetId> onSeen = target -> {};

  TargetDepartures(RoutingState state) {
    this.state = state;
  }

  /**
   * Sets who is told that a target has said that it leaves.
   *
   * @param listener called on any thread, perhaps several times for a target; must not block; not
   *     null
   */
  public void onSeen(Consumer<TargetId> listener) {
    onSeen = listener;
  }

  /**
   * A target says that it leaves.
   *
   * @param target the run of the target; not null
   */
  public void onLeaving(TargetId target) {
    Set<TargetId> known = state.current().leaving();
    if (!known.contains(target)) {
      onSeen.accept(target);
    }
  }
}
