package io.cuminvalve.core.retry;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.request.SlotUse;
import java.util.HashMap;
import java.util.Map;

/**
 * The circuits of the targets of one service, as one router sees them.
 *
 * <p>A circuit opens after consecutive failures and lets one trial through at a time once its pause
 * is over. Only a share of the circuits may be open: when more targets fail, the cause lies
 * elsewhere, and shutting them all would take the service away. Not thread-safe.
 *
 * @since 0.1
 */
public final class TargetCircuitBreakers {

  private final RetrySettings settings;
  private final Map<TargetId, Circuit> circuits = new HashMap<>();
  private int targets;
  private int open;

  /** The circuit of one target. */
  private static final class Circuit {

    private int failures;
    private boolean isOpen;
    private long closesAtMs;
  }

  /**
   * Creates a board with all circuits closed.
   *
   * @param settings limits and times; not null
   */
  public TargetCircuitBreakers(RetrySettings settings) {
    this.settings = settings;
  }

  /**
   * Sets how many targets the service has.
   *
   * @param count their number
   */
  public void onTargets(int count) {
    targets = count;
  }

  /**
   * Tells whether a request may go to a target. The first one after the pause is the trial.
   *
   * @param target the target; not null
   * @param nowMs the current time in milliseconds
   * @return 0 if it may; otherwise when to come back, in milliseconds
   */
  public long waitMs(TargetId target, long nowMs) {
    Circuit circuit = circuits.get(target);
    if (circuit == null || !circuit.isOpen) {
      return 0;
    }
    if (nowMs < circuit.closesAtMs) {
      return circuit.closesAtMs - nowMs;
    }
    circuit.closesAtMs = nowMs + settings.openMs();
    return 0;
  }

  /**
   * Records how an attempt ended.
   *
   * @param target the target; not null
   * @param use how its slot was used; not null
   * @param nowMs the current time in milliseconds
   */
  public void onAttempt(TargetId target, SlotUse use, long nowMs) {
    switch (use) {
      case ANSWERED, REFUSED -> onSuccess(target);
      case NOT_CONNECTED, BROKEN, ABANDONED -> onFailure(target, nowMs);
      default -> {
        // An unused slot, or a caller that went away, says nothing of the target.
      }
    }
  }

  /**
   * Tells whether the circuit of a target is open.
   *
   * @param target the target; not null
   * @return true from the failure that opened it until an answer
   */
  public boolean isOpen(TargetId target) {
    Circuit circuit = circuits.get(target);
    return circuit != null && circuit.isOpen;
  }

  private void onSuccess(TargetId target) {
    Circuit circuit = circuits.get(target);
    if (circuit == null) {
      return;
    }
    if (circuit.isOpen) {
      open--;
    }
    circuits.remove(target);
  }

  private void onFailure(TargetId target, long nowMs) {
    Circuit circuit = circuits.computeIfAbsent(target, t -> new Circuit());
    circuit.failures++;
    if (circuit.isOpen) {
      circuit.closesAtMs = nowMs + settings.openMs();
      return;
    }
    boolean roomLeft = open + 1 <= (int) (targets * settings.openShare());
    if (circuit.failures >= settings.failuresToOpen() && roomLeft) {
      circuit.isOpen = true;
      open++;
      circuit.closesAtMs = nowMs + settings.openMs();
    }
  }
}
