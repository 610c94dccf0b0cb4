package io.cuminvalve.router.target;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;

/** A target's answer had neither a length nor chunks, so that its end cannot be recognised. */
final class UnboundedAnswerException extends CodedException {

  private static final long serialVersionUID = 1L;

  UnboundedAnswerException() {
    super(ErrorCode.PROTOCOL, "the answer has neither Content-Length nor chunked encoding");
  }
}
