package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.id.TargetId;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/**
 * Notices the first answer in which a target says that it leaves.
 *
 * <p>That holds here at once, and for the fleet once the control thread has heard of it. Set by the
 * control thread, used by all.
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
    unreported.removeIf(run -> known.leaving().contains(run) || known.target(run).isEmpty());
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
    if (!isLeaving(target)) {
      unreported.add(target);
      onSeen.accept(target);
    }
  }

  /**
   * Tells whether a target has said, to this gateway or another one, that it leaves.
   *
   * @param target the run of the target; not null
   * @return whether this gateway knows that it has
   */
  boolean isLeaving(TargetId target) {
    return unreported.contains(target) || state.current().leaving().contains(target);
  }
}
