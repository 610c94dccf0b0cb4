package io.cuminvalve.router.caller;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;

/** A target's answer names another attempt than the one that waits on its connection. */
final class ForeignAnswerException extends CodedException {

  private static final long serialVersionUID = 1L;

  ForeignAnswerException() {
    super(ErrorCode.PROTOCOL, "the answer names another attempt");
  }
}
