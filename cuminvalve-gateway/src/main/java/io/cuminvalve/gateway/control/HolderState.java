package io.cuminvalve.gateway.control;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.kernel.UpperTime;

/** State of the term holder that may forbid a lease order. Thread-safe. */
interface HolderState {

  /** Returns when the store last confirmed the term; not null. */
  UpperTime termConfirmed();

  /** Returns the maximum age of that confirmation; milliseconds. */
  long termMaxAgeMs();

  /** Returns whether a target instance is known to have ended. */
  boolean hasEnded(TargetId target);
}
