package io.cuminvalve.gateway.control;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.kernel.UpperTime;

/** What the holder of the term knows that may forbid an order. For any thread. */
interface HolderState {

  /** Returns when the store last confirmed the term; not null. */
  UpperTime termConfirmed();

  /** Returns for how long the term counts without that; milliseconds. */
  long termMaxAgeMs();

  /** Tells whether a run of a target is known to have ended. */
  boolean hasEnded(TargetId target);
}
