package io.cuminvalve.gateway.control;

import java.util.ArrayList;
import java.util.List;

/**
 * The gateways that follow the store in addition to the holder, as last announced by a holder.
 *
 * <p>Confined to the control thread, except {@link #mustFollowStore}, which is thread-safe.
 */
final class Deputies {

  /** Number of deputies asked at once, because one may be lost together with the holder. */
  private static final int ASKED_AT_ONCE = 2;

  private final String ownAddress;
  private volatile List<String> addresses = List.of();
  private int position;

  Deputies(String ownAddress) {
    this.ownAddress = ownAddress;
    this.position = Math.floorMod(ownAddress.hashCode(), 1 << 16);
  }

  void onNamed(List<String> named) {
    addresses = List.copyOf(named);
  }

  /** Returns whether this process must follow the store: it is a deputy, or none is known. */
  boolean mustFollowStore() {
    List<String> named = addresses;
    return named.isEmpty() || named.contains(ownAddress);
  }

  /** Returns all deputies except this process. */
  List<String> others() {
    List<String> others = new ArrayList<>(addresses);
    others.remove(ownAddress);
    return others;
  }

  /** Returns the deputies to ask next, in rotation. */
  List<String> next() {
    List<String> others = others();
    List<String> selected = new ArrayList<>();
    for (int i = 0; i < Math.min(ASKED_AT_ONCE, others.size()); i++) {
      selected.add(others.get(position % others.size()));
      position++;
    }
    return selected;
  }
}
