package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.route.Route;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/** A request that wants a slot at a target. */
final class SlotRequest {

  /** Hears how it went, at most once for each time the wish is submitted. */
  interface Listener {

    /** There is a slot. */
    void onPlaced(Slot slot);

    /** There will be none in time: targets take no more for now. */
    void onRefused(TargetRefusal refusal);
  }

  private final Route route;
  private final ServiceId service;
  private final OptionalInt key;
  private final int bodyBytes;
  private final Listener listener;
  private final Set<TargetId> tried = new HashSet<>();
  private long order;
  private volatile OptionalInt answerBytes = OptionalInt.empty();
  private OwnersVersion placedUnder = OwnersVersion.NONE;
  private Optional<OwnersVersion> avoided = Optional.empty();

  SlotRequest(Route route, ServiceId service, OptionalInt key, int bodyBytes, Listener listener) {
    this.route = route;
    this.service = service;
    this.key = key;
    this.bodyBytes = bodyBytes;
    this.listener = listener;
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

  /** Returns the size of the body; bytes. */
  int bodyBytes() {
    return bodyBytes;
  }

  /** Notes the size of a whole answer; bytes. */
  void answered(int bytes) {
    answerBytes = OptionalInt.of(bytes);
  }

  /** Returns the size of the answer, if there is one; bytes. */
  OptionalInt answerBytes() {
    return answerBytes;
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

  /** Notes by which state of the owners it was placed. */
  void placedUnder(OwnersVersion version) {
    placedUnder = version;
  }

  /** What was known of the owners was wrong: wait for something newer. */
  void avoidOwnersUsed() {
    avoided = Optional.of(placedUnder);
  }

  /** Nothing newer came: ask the same owner again. */
  void acceptAnyOwner() {
    avoided = Optional.empty();
  }

  boolean accepts(OwnersVersion version) {
    return avoided.filter(version::equals).isEmpty();
  }

  void placed(Slot slot) {
    listener.onPlaced(slot);
  }

  void refused(TargetRefusal refusal) {
    listener.onRefused(refusal);
  }
}
