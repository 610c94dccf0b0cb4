package io.cuminvalve.demo.experiment;

import java.util.Locale;

/** The faults that an experiment injects. */
enum Scenario {
  /** A target is killed. */
  TARGET_KILLED(true),
  /** A target is killed while the store does not answer. */
  TARGET_KILLED_STORE_DOWN(true),
  /** A target and the controller that holds the term are killed together. */
  TARGET_AND_HOLDER_KILLED(true),
  /** A target is killed and a router is paused for five seconds at the same time. */
  TARGET_KILLED_ROUTER_PAUSED(true),
  /** A target is paused for five seconds, then goes on as if nothing had happened. */
  TARGET_FROZEN(true),
  /** Only the controller that holds the term is killed. */
  HOLDER_KILLED(false),
  /** The store does not answer for five seconds; nothing else happens. */
  STORE_DOWN(false);

  private final boolean losesTarget;

  Scenario(boolean losesTarget) {
    this.losesTarget = losesTarget;
  }

  /** Tells whether the shards of one target have to find another owner. */
  boolean losesTarget() {
    return losesTarget;
  }

  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
