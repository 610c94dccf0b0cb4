package io.cuminvalve.gateway.control;

import java.util.ArrayList;
import java.util.List;

/**
 * The gateways that follow the store beside the holder, as a holder named them last.
 *
 * <p>For the control thread, but for {@link #mustFollowStore}.
 */
final class Deputies {

  /** Asked at a time: one of two may be lost together with the holder. */
  private static final int ASKED_AT_ONCE = 2;

  private final String ownAddress;
  private volatile List<String> addresses = List.of();
  private int turn;

  Deputies(String ownAddress) {
    this.ownAddress = ownAddress;
    this.turn = Math.floorMod(ownAddress.hashCode(), 1 << 16);
  }

  void onNamed(List<String> named) {
    addresses = List.copyOf(named);
  }

  /** Tells whether this process is to follow the store itself: it is a deputy, or knows of none. */
  boolean mustFollowStore() {
    List<String> named = addresses;
    return named.isEmpty() || named.contains(ownAddress);
  }

  /** Returns all deputies but this process. */
  List<String> others() {
    List<String> others = new ArrayList<>(addresses);
    others.remove(ownAddress);
    return others;
  }

  /** Returns whom to ask now; others the next time. */
  List<String> next() {
    List<String> others = others();
    List<String> asked = new ArrayList<>();
    for (int i = 0; i < Math.min(ASKED_AT_ONCE, others.size()); i++) {
      asked.add(others.get(turn % others.size()));
      turn++;
    }
    return asked;
  }
}
