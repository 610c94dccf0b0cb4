package io.cuminvalve.gateway.traffic;

import java.io.IOException;

/** Signals that the caller closed its connection before it received its response. */
final class CallerGoneException extends IOException {

  private static final long serialVersionUID = 1L;

  CallerGoneException() {
    super("the caller closed its connection");
  }

  @Override
  public synchronized Throwable fillInStackTrace() {
    return this;
  }
}
