package io.cuminvalve.gateway.traffic;

import java.io.IOException;

/** The caller closed its connection before it had its answer. */
final class CallerGoneException extends IOException {

  private static final long serialVersionUID = 1L;

  CallerGoneException() {
    super("the caller is gone");
  }

  @Override
  public synchronized Throwable fillInStackTrace() {
    return this;
  }
}
