package io.cuminvalve.core.reach;

import io.cuminvalve.core.id.TargetId;

/**
 * Receives what attempts to targets show about the paths to them. Thread-safe.
 *
 * @since 0.2
 */
public interface ReachSignals {

  /** Ignores all signals. */
  ReachSignals IGNORED =
      new ReachSignals() {
        @Override
        public void onSent(TargetId target) {}

        @Override
        public void onEnded(TargetId target) {}

        @Override
        public void onAnswer(TargetId target) {}

        @Override
        public void onDoubt(TargetId target) {}
      };

  /**
   * Records that an attempt has begun.
   *
   * @param target the target; not null
   */
  void onSent(TargetId target);

  /**
   * Records that an attempt has ended, in whatever way.
   *
   * @param target the target; not null
   */
  void onEnded(TargetId target);

  /**
   * Records an answer.
   *
   * @param target the target; not null
   */
  void onAnswer(TargetId target);

  /**
   * Asks for a probe, since a connection broke or nothing was sent.
   *
   * @param target the target; not null
   */
  void onDoubt(TargetId target);
}
