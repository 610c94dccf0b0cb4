package io.cuminvalve.core.reach;

/** How a link between a gateway and its targets behaves. */
enum LinkState {
  /** Everything arrives. */
  OPEN(false, false, 0),
  /** Nothing arrives in either direction. */
  SILENT(true, true, 300),
  /** Requests arrive, answers do not. */
  ONE_WAY(true, true, 300),
  /** Old connections are reset and new ones refused. */
  REFUSING(true, true, 2),
  /** Old connections live on, new ones are refused. */
  OLD_ALIVE_REFUSING(false, true, 2),
  /** Old connections live on, new ones get no answer. */
  OLD_ALIVE_SILENT(false, true, 300);

  private final boolean breaksOld;
  private final boolean breaksNew;
  private final long failsAfterMs;

  LinkState(boolean breaksOld, boolean breaksNew, long failsAfterMs) {
    this.breaksOld = breaksOld;
    this.breaksNew = breaksNew;
    this.failsAfterMs = failsAfterMs;
  }

  boolean breaks(boolean oldConnection) {
    return oldConnection ? breaksOld : breaksNew;
  }

  boolean resetsOld() {
    return this == REFUSING;
  }

  long failsAfterMs() {
    return failsAfterMs;
  }

  ConnectFailure failure() {
    return failsAfterMs > 100 ? ConnectFailure.TIMEOUT : ConnectFailure.REFUSED;
  }
}
