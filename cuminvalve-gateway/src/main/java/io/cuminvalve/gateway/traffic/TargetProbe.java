package io.cuminvalve.gateway.traffic;

import java.util.function.Consumer;

/** Finds out whether somebody listens at the address of a target. */
@FunctionalInterface
interface TargetProbe {

  /** What a probe found. */
  enum Finding {
    /** Somebody accepts connections. */
    LISTENING,
    /** The host is there and nobody listens: the process has ended. */
    REFUSED,
    /** Nothing came back. */
    SILENT
  }

  /**
   * Opens a connection and closes it again.
   *
   * @param address IP address and port; not null
   * @param onDone called once, on any thread; not null
   */
  void probe(String address, Consumer<Finding> onDone);
}
