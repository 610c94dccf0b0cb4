package io.cuminvalve.ports.http;

import java.io.IOException;

/** A peer sent more bytes than a response, or one part of it, may have. */
final class EndlessResponseException extends IOException {

  private static final long serialVersionUID = 1L;

  EndlessResponseException(long maxBytes) {
    super("the peer sent more than " + maxBytes + " bytes without completing the response");
  }
}
