package io.cuminvalve.router.caller;

import io.cuminvalve.core.verdict.RefusalReason;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import org.eclipse.jetty.io.QuietException;

/** Breaks a caller's connection, so that a part of an answer cannot look whole. */
final class AbortedAnswerException extends CodedException implements QuietException {

  private static final long serialVersionUID = 1L;

  AbortedAnswerException(RefusalReason reason) {
    super(ErrorCode.UNAVAILABLE, "the answer cannot be completed: " + reason);
  }
}
