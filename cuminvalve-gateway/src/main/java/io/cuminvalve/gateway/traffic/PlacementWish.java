package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.route.Route;
import java.util.HashSet;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Consumer;

/** A request that wants a slot at a target. */
final class PlacementWish {

  private final Route route;
  private final ServiceId service;
  private final OptionalInt key;
  private final Consumer<Slot> onPlaced;
  private final Set<TargetId> tried = new HashSet<>();
  private long order;
  private long avoidedOwnersVersion = -1;

  PlacementWish(Route route, ServiceId service, OptionalInt key, Consumer<Slot> onPlaced) {
    this.route = route;
    this.service = service;
    this.key = key;
    this.onPlaced = onPlaced;
  }

  Route route() {
    return route;
  }

  ServiceId service() {
    return service;
  }

  OptionalInt key() {
    return key;
  }

  Set<TargetId> tried() {
    return tried;
  }

  long order() {
    return order;
  }

  void setOrder(long value) {
    order = value;
  }

  /** What was known of the owners was wrong: wait for something newer. */
  void avoidOwnersOf(long version) {
    avoidedOwnersVersion = version;
  }

  boolean accepts(long ownersVersion) {
    return ownersVersion != avoidedOwnersVersion;
  }

  void placed(Slot slot) {
    onPlaced.accept(slot);
  }
}
