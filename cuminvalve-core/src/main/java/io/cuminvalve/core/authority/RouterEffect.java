package io.cuminvalve.core.authority;

import io.cuminvalve.core.protocol.PeerMessage;

/**
 * What a {@link RouterCell} asks its process to do.
 *
 * @since 0.1
 */
public sealed interface RouterEffect {

  /**
   * Send a message to another process; loss is tolerated.
   *
   * @param peerAddress IP address and port of its peer listener; not null
   * @param message the message; not null
   * @since 0.1
   */
  record SendToPeer(String peerAddress, PeerMessage message) implements RouterEffect {}

  /**
   * Find the address of the holder, from the term key or from any controller, and report it to
   * {@link RouterCell#onHolderAddress}.
   *
   * @since 0.1
   */
  record FindHolder() implements RouterEffect {}

  /**
   * The view for traffic threads changed; {@link DispatchGate#view()} returns it already.
   *
   * @param view the new view; not null
   * @since 0.1
   */
  record ViewChanged(RoutingView view) implements RouterEffect {}

  /**
   * Install a newer configuration, then report it to {@link RouterCell#onConfigurationInstalled}.
   *
   * @param revision its revision
   * @param json the published document; not null
   * @since 0.1
   */
  record InstallConfiguration(long revision, byte[] json) implements RouterEffect {}

  /**
   * Log and count a change of state.
   *
   * @param event short constant name, such as {@code learned}; not null
   * @param detail for operators; not null
   * @since 0.1
   */
  record StateChanged(String event, String detail) implements RouterEffect {}

  /**
   * The router left the registered set and may exit.
   *
   * @since 0.1
   */
  record Stopped() implements RouterEffect {}
}
