package io.cuminvalve.router.target;

import java.io.IOException;

/** A target sent too many bytes that belong to no part of an answer. */
final class EndlessAnswerException extends IOException {

  private static final long serialVersionUID = 1L;

  EndlessAnswerException(long maxBytes) {
    super("the target sent more than " + maxBytes + " bytes without a part of an answer");
  }
}
