package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.route.Route;
import io.cuminvalve.core.waiting.RequestTimes;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/** A request that waits for a slot at a target. */
final class SlotRequest {

  /** Receives the result, at most once per submission. */
  interface Listener {

    /** A slot was assigned. */
    void onPlaced(Slot slot);

    /** No slot will be free in time: the targets accept no more requests for now. */
    void onRefused(TargetRefusal refusal);
  }

  private final Route route;
  private final ServiceId service;
  private final OptionalInt key;
  private final int bodyBytes;
  private final RequestTimes times;
  private final Listener listener;
  private final Set<TargetId> tried = new HashSet<>();
  private long order;
  private long waitUntilMs;
  private volatile OptionalInt responseBytes = OptionalInt.empty();
  private OwnersVersion assignedUnder = OwnersVersion.NONE;
  private Optional<OwnersVersion> avoided = Optional.empty();

  SlotRequest(
      Route route,
      ServiceId service,
      OptionalInt key,
      int bodyBytes,
      RequestTimes times,
      Listener listener) {
    this.route = route;
    this.service = service;
    this.key = key;
    this.bodyBytes = bodyBytes;
    this.times = times;
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

  /** Returns the size of the request body in bytes. */
  int bodyBytes() {
    return bodyBytes;
  }

  /** Sets the size of the complete response body in bytes. */
  void setResponseBytes(int bytes) {
    responseBytes = OptionalInt.of(bytes);
  }

  /** Returns the size of the response body in bytes; empty if there is no response. */
  OptionalInt responseBytes() {
    return responseBytes;
  }

  /** Returns the times by which a response is of use. */
  RequestTimes times() {
    return times;
  }

  /** Returns the time until which the request may wait for a scarce place; milliseconds. */
  long waitUntilMs() {
    return waitUntilMs;
  }

  void waitUntil(long untilMs) {
    waitUntilMs = untilMs;
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

  /** Records the version of the owners by which the slot was assigned. */
  void assignedUnder(OwnersVersion version) {
    assignedUnder = version;
  }

  /** Waits for owners newer than those of the last assignment, which proved wrong. */
  void avoidCurrentOwners() {
    avoided = Optional.of(assignedUnder);
  }

  /** Allows the owner tried before again, since no newer owners became known. */
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
