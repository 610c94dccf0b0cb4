package io.cuminvalve.gateway.control;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.ports.fleet.RegistryChanges;
import io.cuminvalve.ports.fleet.RegistryListing;
import io.cuminvalve.ports.fleet.TargetRegistry;
import io.cuminvalve.testkit.time.VirtualClock;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** A registry of targets on virtual time. Each reader has its own connection with faults. */
final class VirtualRegistry {

  /** Timeout of a listing in the adapter of the platform. */
  private static final long LISTING_TIMEOUT_MS = 1_500;

  /** A change as reported by a watch. */
  private record Event(long revision, TargetId id, FleetTarget written) {}

  private final VirtualClock clock;
  private final Map<TargetId, FleetTarget> entries = new LinkedHashMap<>();
  private final List<Event> events = new ArrayList<>();
  private long revision = 1;

  VirtualRegistry(VirtualClock clock) {
    this.clock = clock;
  }

  void put(FleetTarget target) {
    entries.put(target.id(), target);
    events.add(new Event(++revision, target.id(), target));
  }

  void remove(TargetId id) {
    entries.remove(id);
    events.add(new Event(++revision, id, null));
  }

  /** The connection of one reader to the registry. */
  final class Reader implements TargetRegistry {

    /** Delay of a response after the registry has created it. */
    private long answerMs = 1;

    private boolean refused;
    private int silentListings;
    private List<FleetTarget> stale;

    void setAnswerMs(long ms) {
      answerMs = ms;
    }

    /** Sets whether all calls are refused immediately, including pending watches. */
    void setRefused(boolean now) {
      refused = now;
    }

    /** Makes the next listings get no response, as on connections that stopped without an error. */
    void silenceNextListings(int count) {
      silentListings = count;
    }

    /** Sets the result of stale reads from now on. */
    void setStale(List<FleetTarget> old) {
      stale = old;
    }

    @Override
    public CompletableFuture<RegistryListing> list() {
      if (silentListings > 0) {
        silentListings--;
        CompletableFuture<RegistryListing> timedOut = new CompletableFuture<>();
        clock.schedule(LISTING_TIMEOUT_MS, () -> timedOut.complete(RegistryListing.unavailable()));
        return timedOut;
      }
      return delayed(
          refused
              ? RegistryListing.unavailable()
              : new RegistryListing(true, List.copyOf(entries.values()), List.of(), revision, 0));
    }

    @Override
    public CompletableFuture<RegistryListing> listStale() {
      return stale == null
          ? list()
          : delayed(new RegistryListing(true, stale, List.of(), revision, 0));
    }

    @Override
    public CompletableFuture<RegistryChanges> changes(long afterRevision, long waitMs) {
      CompletableFuture<RegistryChanges> answer = new CompletableFuture<>();
      poll(afterRevision, clock.nowMs() + waitMs, answer);
      return answer;
    }

    private void poll(long after, long untilMs, CompletableFuture<RegistryChanges> answer) {
      if (refused) {
        RegistryChanges none = RegistryChanges.none(RegistryChanges.Status.UNAVAILABLE);
        clock.schedule(1, () -> answer.complete(none));
      } else if (revision > after || clock.nowMs() >= untilMs) {
        RegistryChanges made = changesSince(after);
        clock.schedule(answerMs, () -> answer.complete(made));
      } else {
        clock.schedule(1, () -> poll(after, untilMs, answer));
      }
    }

    private <T> CompletableFuture<T> delayed(T made) {
      CompletableFuture<T> answer = new CompletableFuture<>();
      clock.schedule(answerMs, () -> answer.complete(made));
      return answer;
    }
  }

  private RegistryChanges changesSince(long after) {
    Map<TargetId, FleetTarget> written = new LinkedHashMap<>();
    List<TargetId> removed = new ArrayList<>();
    for (Event event : events) {
      if (event.revision() <= after) {
        continue;
      }
      written.remove(event.id());
      removed.remove(event.id());
      if (event.written() == null) {
        removed.add(event.id());
      } else {
        written.put(event.id(), event.written());
      }
    }
    return new RegistryChanges(
        RegistryChanges.Status.ANSWERED,
        List.copyOf(written.values()),
        removed,
        List.of(),
        revision);
  }
}
