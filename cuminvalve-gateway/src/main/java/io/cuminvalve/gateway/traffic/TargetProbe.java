package io.cuminvalve.gateway.traffic;

import java.util.function.Consumer;

/** Checks whether a process listens at the address of a target. */
@FunctionalInterface
interface TargetProbe {

  /** The result of a probe. */
  enum Finding {
    /** A process accepts connections. */
    LISTENING,
    /** The host refused the connection: the process has ended. */
    REFUSED,
    /** There was no reply. */
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
