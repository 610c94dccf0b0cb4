package io.cuminvalve.core.intent;

import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.intent.IntentEntry.State;
import io.cuminvalve.core.verdict.Verdict;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Stores, on one router, the claims and outcomes of operations that must not be executed twice.
 *
 * <p>An operation is claimed by one request. Its outcome is kept for the retention time. A claim
 * whose outcome is not reported in time, or whose router is lost, becomes MAY_HAVE_RUN.
 *
 * <p>Not thread-safe.
 *
 * @since 0.1
 */
public final class IntentReplica {

  private final IntentSettings settings;
  private final Map<OperationId, Entry> entries = new HashMap<>();

  /** Entries without an outcome; few, so scans for expired claims and lost routers are cheap. */
  private final Set<Entry> claimed = new HashSet<>();

  /** Entries with an outcome, ordered by expiry. */
  private final PriorityQueue<Entry> ended =
      new PriorityQueue<>(Comparator.comparingLong(entry -> entry.untilMs));

  /** Mutable state of one operation. */
  private static final class Entry {

    private OperationId operation;
    private RequestId request;
    private RouterId router;
    private State state;
    private long untilMs;
  }

  /**
   * Creates an empty replica.
   *
   * @param settings limits and timeouts; not null
   */
  public IntentReplica(IntentSettings settings) {
    this.settings = settings;
  }

  /**
   * Returns how many operations are stored.
   *
   * @return the number of entries
   */
  public int size() {
    return entries.size();
  }

  /**
   * Claims an operation for a request. A repeated claim by the same request is granted again.
   *
   * @param operation the operation; not null
   * @param request the request; not null
   * @param router the router that handles the request; not null
   * @param remainingMs milliseconds until the deadline of the request
   * @param nowMs the current time in milliseconds
   * @return the result; NOT_READY if the replica is full
   */
  public IntentAnswer claim(
      OperationId operation, RequestId request, RouterId router, long remainingMs, long nowMs) {
    Entry entry = entries.get(operation);
    if (entry == null) {
      if (entries.size() >= settings.maxEntries()) {
        return IntentAnswer.NOT_READY;
      }
      put(operation, request, router, State.CLAIMED, nowMs + remainingMs);
      return IntentAnswer.GRANTED;
    }
    if (entry.state == State.CLAIMED && nowMs >= entry.untilMs + settings.closeGraceMs()) {
      end(entry, State.MAY_HAVE_RUN, nowMs);
    }
    return switch (entry.state) {
      case CLAIMED -> entry.request.equals(request) ? IntentAnswer.GRANTED : IntentAnswer.IN_FLIGHT;
      case RAN -> IntentAnswer.RAN;
      case MAY_HAVE_RUN -> IntentAnswer.MAY_HAVE_RUN;
    };
  }

  /**
   * Records how a request ended.
   *
   * @param operation the operation; not null
   * @param request the request; not null
   * @param router the router that handled the request; not null
   * @param verdict the outcome; NOT_RUN releases the claim if the request still holds it; not null
   * @param nowMs the current time in milliseconds
   */
  public void settle(
      OperationId operation, RequestId request, RouterId router, Verdict verdict, long nowMs) {
    Entry entry = entries.get(operation);
    boolean claimedByRequest = entry != null && entry.request.equals(request);
    if (verdict == Verdict.NOT_RUN) {
      if (claimedByRequest && entry.state == State.CLAIMED) {
        entries.remove(operation);
        claimed.remove(entry);
      }
      return;
    }
    State state = verdict == Verdict.RAN ? State.RAN : State.MAY_HAVE_RUN;
    if (entry == null) {
      entry = put(operation, request, router, State.CLAIMED, nowMs);
    }
    if (entry.state != State.RAN) {
      end(entry, state, nowMs);
    }
  }

  /**
   * Merges an entry of another replica. The entry with the more definite state wins.
   *
   * @param copy the entry of the other replica; not null
   * @param nowMs the current time in milliseconds
   */
  public void merge(IntentEntry copy, long nowMs) {
    Entry entry = entries.get(copy.operation());
    long untilMs = nowMs + copy.remainingMs();
    if (entry == null || rank(copy.state()) > rank(entry.state)) {
      removeFromIndexes(entry);
      put(copy.operation(), copy.request(), copy.router(), copy.state(), untilMs);
    }
  }

  /**
   * Ends the claims of a lost router as MAY_HAVE_RUN, as their outcome will not be reported.
   *
   * @param router the lost router; not null
   * @param nowMs the current time in milliseconds
   */
  public void onRouterLost(RouterId router, long nowMs) {
    endIf(entry -> entry.router.equals(router), nowMs);
  }

  /**
   * Ends claims past their deadline and removes outcomes past the retention time.
   *
   * @param nowMs the current time in milliseconds
   */
  public void tick(long nowMs) {
    endIf(entry -> nowMs >= entry.untilMs + settings.closeGraceMs(), nowMs);
    while (!ended.isEmpty() && nowMs >= ended.peek().untilMs) {
      entries.remove(ended.poll().operation);
    }
  }

  /**
   * Passes every entry to a visitor.
   *
   * @param nowMs the current time in milliseconds
   * @param visitor receives each entry; not null
   */
  public void forEach(long nowMs, Consumer<IntentEntry> visitor) {
    entries.forEach(
        (operation, entry) ->
            visitor.accept(
                new IntentEntry(
                    operation,
                    entry.request,
                    entry.router,
                    entry.state,
                    Math.max(0, entry.untilMs - nowMs))));
  }

  private void endIf(Predicate<Entry> condition, long nowMs) {
    for (Entry entry : claimed.stream().filter(condition).toList()) {
      end(entry, State.MAY_HAVE_RUN, nowMs);
    }
  }

  private Entry put(
      OperationId operation, RequestId request, RouterId router, State state, long untilMs) {
    Entry entry = new Entry();
    entry.operation = operation;
    entry.request = request;
    entry.router = router;
    entry.state = state;
    entry.untilMs = untilMs;
    entries.put(operation, entry);
    if (state == State.CLAIMED) {
      claimed.add(entry);
    } else {
      ended.add(entry);
    }
    return entry;
  }

  /** Records an outcome. A later, more definite outcome keeps the expiry of the first. */
  private void end(Entry entry, State state, long nowMs) {
    entry.state = state;
    if (claimed.remove(entry)) {
      entry.untilMs = nowMs + settings.retentionMs();
      ended.add(entry);
    }
  }

  private void removeFromIndexes(Entry entry) {
    if (entry != null && !claimed.remove(entry)) {
      ended.remove(entry);
    }
  }

  private static int rank(State state) {
    return switch (state) {
      case CLAIMED -> 0;
      case MAY_HAVE_RUN -> 1;
      case RAN -> 2;
    };
  }
}
