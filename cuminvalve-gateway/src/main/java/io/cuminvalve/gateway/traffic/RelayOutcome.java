package io.cuminvalve.gateway.traffic;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** How a relayed request ended at the peer that was to send it. */
enum RelayOutcome {
  /** The response is the complete response of a target. */
  SERVED,
  /** The request did not run there and never will. */
  REFUSED,
  /** As refused; the peer takes no relayed requests for now. */
  UNUSABLE,
  /** The request may have run there. */
  FAILED;

  /** Returns the name in the header field, the log and the metrics. */
  String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the outcome with a label; empty if there is none, or the label is null. */
  static Optional<RelayOutcome> of(String label) {
    return Arrays.stream(values()).filter(outcome -> outcome.label().equals(label)).findFirst();
  }
}
