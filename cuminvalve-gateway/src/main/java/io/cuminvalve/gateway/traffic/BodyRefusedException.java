package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.buffer.BufferBudget.Grant;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;

/** A body was not buffered, since it is too large or there is no room for it. */
final class BodyRefusedException extends CodedException {

  private static final long serialVersionUID = 1L;

  private final Grant grant;

  BodyRefusedException(Grant grant) {
    super(ErrorCode.UNAVAILABLE, "no memory for a body: " + grant);
    this.grant = grant;
  }

  /** Returns whether a body of this size is never buffered. */
  boolean isTooLarge() {
    return grant == Grant.TOO_LARGE;
  }
}
