package io.cuminvalve.gateway.control;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.lease.OwnershipRecord;
import io.cuminvalve.core.lease.OwnershipTable;
import io.cuminvalve.core.lease.RangeAssignment;
import io.cuminvalve.core.lease.RangeRoute;
import io.cuminvalve.core.protocol.ServiceRanges;
import io.cuminvalve.gateway.GatewayPorts;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.ports.fleet.RegistryListing;
import io.cuminvalve.ports.store.ReadResult;
import io.cuminvalve.ports.store.StoreValue;
import io.cuminvalve.wire.RecordCodec;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads targets and owners from the store once at startup, to route requests before a holder is
 * known.
 *
 * <p>After all gateways have failed together, targets still hold their leases for some seconds. The
 * next holder needs about 1 s after a cold start before it can send routes. Routing by the stored
 * owners is safe until then, because a target refuses keys that it no longer owns. Confined to the
 * control thread.
 */
final class StartupReader {

  /** Receives the results of the reads. */
  interface Listener {

    /** Receives the registered targets, which were read at {@code asOf} or later. */
    void onTargets(List<FleetTarget> targets, UpperTime asOf);

    /** Called if the targets could not be read. */
    void onTargetsUnavailable();

    /** Receives the owners as last written by a holder. */
    void onOwners(List<ServiceRanges> owners);
  }

  private final GatewayPorts ports;
  private final ControlThread control;
  private final MillisClock clock;
  private final DecisionLog log;
  private final RecordCodec codec;
  private final Listener listener;

  StartupReader(
      GatewayPorts ports,
      ControlThread control,
      MillisClock clock,
      DecisionLog log,
      RecordCodec codec,
      Listener listener) {
    this.ports = ports;
    this.control = control;
    this.clock = clock;
    this.log = log;
    this.codec = codec;
    this.listener = listener;
  }

  void readOwners() {
    ports.store().readStale(OwnershipStore.KEY).thenAcceptAsync(this::onRecord, control);
  }

  void listTargets() {
    UpperTime sent = clock.upper();
    ports.registry().list().thenAcceptAsync(listing -> onListing(listing, sent), control);
  }

  private void onListing(RegistryListing listing, UpperTime sent) {
    if (listing.available()) {
      listener.onTargets(listing.targets(), sent);
    } else {
      listener.onTargetsUnavailable();
    }
  }

  private void onRecord(ReadResult result) {
    if (result.value().isEmpty()) {
      return;
    }
    StoreValue value = result.value().get();
    try {
      OwnershipRecord record = codec.decode(value.value(), OwnershipRecord.class);
      List<ServiceRanges> owners = new ArrayList<>();
      record.tables().forEach(table -> owners.add(rangesOf(table)));
      log.write("owners_looked_up", "revision={} term={}", value.revision(), record.term());
      listener.onOwners(owners);
    } catch (CodedException unreadable) {
      log.write("owners_unreadable", "revision={} why=\"{}\"", value.revision(), unreadable);
    }
  }

  private static ServiceRanges rangesOf(OwnershipTable table) {
    List<RangeRoute> ranges = new ArrayList<>();
    for (RangeAssignment assignment : table.assignments()) {
      boolean settled = assignment.previousOwners().isEmpty();
      ranges.add(
          new RangeRoute(assignment.firstKey(), assignment.lastKey(), assignment.owner(), settled));
    }
    return new ServiceRanges(table.service(), ranges);
  }
}
