package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.authority.RouterEffect;
import io.cuminvalve.core.protocol.PeerMessage;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects the effects of a router.
 *
 * @since 0.1
 */
public final class RouterOutbox {

  private final List<RouterEffect> effects = new ArrayList<>();

  /**
   * Adds an effect.
   *
   * @param effect the effect; not null
   */
  public void add(RouterEffect effect) {
    effects.add(effect);
  }

  /**
   * Sends a message to another process.
   *
   * @param address its peer address; not null
   * @param message the message; not null
   */
  public void send(String address, PeerMessage message) {
    effects.add(new RouterEffect.SendToPeer(address, message));
  }

  /**
   * Takes the effects out.
   *
   * @return the effects in order; not null
   */
  public List<RouterEffect> drain() {
    List<RouterEffect> taken = List.copyOf(effects);
    effects.clear();
    return taken;
  }
}
