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

/** A registry of targets on virtual time; each reader has its own way to it, which may be bad. */
final class VirtualRegistry {

  /** The platform's adapter gives a listing up after this long. */
  private static final long GIVEN_UP_MS = 1_500;

  /** A change, as a watch tells it. */
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

  /** One reader's way to the registry. */
  final class Reader implements TargetRegistry {

    /** How long an answer takes once the registry has made it. */
    private long answerMs = 1;

    private boolean refused;
    private int silentListings;
    private List<FleetTarget> stale;

    void setAnswerMs(long ms) {
      answerMs = ms;
    }

    /** Each call is refused at once, those that wait too. */
    void setRefused(boolean now) {
      refused = now;
    }

    /** The next listings go out on connections that carry nothing any more. */
    void silenceNextListings(int count) {
      silentListings = count;
    }

    /** What a read that may be old returns from now on. */
    void setStale(List<FleetTarget> old) {
      stale = old;
    }

    @Override
    public CompletableFuture<RegistryListing> list() {
      if (silentListings > 0) {
        silentListings--;
        CompletableFuture<RegistryListing> givenUp = new CompletableFuture<>();
        clock.schedule(GIVEN_UP_MS, () -> givenUp.complete(RegistryListing.unavailable()));
        return givenUp;
      }
      return later(
          refused
              ? RegistryListing.unavailable()
              : new RegistryListing(true, List.copyOf(entries.values()), List.of(), revision, 0));
    }

    @Override
    public CompletableFuture<RegistryListing> listStale() {
      return stale == null
          ? list()
          : later(new RegistryListing(true, stale, List.of(), revision, 0));
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

    private <T> CompletableFuture<T> later(T made) {
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
