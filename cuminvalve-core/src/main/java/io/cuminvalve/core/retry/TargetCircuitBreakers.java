package io.cuminvalve.core.retry;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.request.SlotUse;
import java.util.HashMap;
import java.util.Map;

/**
 * The circuit breakers of one router for the targets of one service.
 *
 * <p>A circuit opens after consecutive failures and admits one trial request at a time once its
 * pause is over. Only a share of the circuits may be open at a time: if more targets fail, the
 * cause lies elsewhere, and opening all circuits would make the service unavailable. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class TargetCircuitBreakers {

  private final RetrySettings settings;
  private final Map<TargetId, Circuit> circuits = new HashMap<>();
  private int targetCount;
  private int openCount;

  /** The circuit of one target. */
  private static final class Circuit {

    private int failures;
    private boolean isOpen;
    private long trialAtMs;
  }

  /**
   * Creates circuit breakers that are all closed.
   *
   * @param settings limits and times; not null
   */
  public TargetCircuitBreakers(RetrySettings settings) {
    this.settings = settings;
  }

  /**
   * Sets the number of targets of the service.
   *
   * @param count the number of targets
   */
  public void onTargets(int count) {
    targetCount = count;
  }

  /**
   * Returns whether a request may be sent to a target. The first request after the pause is the
   * trial request.
   *
   * @param target the target; not null
   * @param nowMs the current time in milliseconds
   * @return 0 if it may, else the time until a retry in milliseconds
   */
  public long waitMs(TargetId target, long nowMs) {
    Circuit circuit = circuits.get(target);
    if (circuit == null || !circuit.isOpen) {
      return 0;
    }
    if (nowMs < circuit.trialAtMs) {
      return circuit.trialAtMs - nowMs;
    }
    circuit.trialAtMs = nowMs + settings.openMs();
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
        // An unused slot or a disconnected caller is not evidence about the target.
      }
    }
  }

  /**
   * Returns whether the circuit of a target is open.
   *
   * @param target the target; not null
   * @return true from the failure that opened it until the next answer
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
      openCount--;
    }
    circuits.remove(target);
  }

  private void onFailure(TargetId target, long nowMs) {
    Circuit circuit = circuits.computeIfAbsent(target, t -> new Circuit());
    circuit.failures++;
    if (circuit.isOpen) {
      circuit.trialAtMs = nowMs + settings.openMs();
      return;
    }
    boolean belowOpenLimit = openCount + 1 <= (int) (targetCount * settings.openShare());
    if (circuit.failures >= settings.failuresToOpen() && belowOpenLimit) {
      circuit.isOpen = true;
      openCount++;
      circuit.trialAtMs = nowMs + settings.openMs();
    }
  }
}
