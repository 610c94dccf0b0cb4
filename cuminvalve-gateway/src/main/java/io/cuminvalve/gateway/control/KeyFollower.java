package io.cuminvalve.gateway.control;

import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.ports.store.KeyValueStore;
import io.cuminvalve.ports.store.ReadResult;
import io.cuminvalve.ports.store.WatchResult;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.function.Consumer;

/**
 * Follows one key of the store with a bound on the age of its data.
 *
 * <p>Changes are rare, so the follower uses a long poll of the store while other gateways confirm
 * that it has not missed a change. If it relies on them entirely, it does not poll. It then reads
 * the store once when a peer reports a change or when confirmations stop. A connection can stop
 * carrying data without an error, and a long poll of 30 s on it would hide every change for that
 * time. The long poll is therefore abandoned when the data remains unconfirmed for too long.
 * Further polls are short, and a poll with an overdue response is repeated on another connection.
 * All methods run on the control thread.
 */
final class KeyFollower {

  /** How long a call waits while peers confirm the data; the maximum that the store allows. */
  static final long LONG_WAIT_MS = 30_000;

  /**
   * How long a call waits otherwise. This costs two calls per second and is a quarter of the time
   * in which a change must take effect.
   */
  static final long SHORT_WAIT_MS = 500;

  /** Initial time after the wait until a response is overdue. A slow store takes up to 240 ms. */
  static final long RESPONSE_TIMEOUT_MS = 400;

  /**
   * Upper bound for {@link #RESPONSE_TIMEOUT_MS}, which each overdue response doubles so that a
   * large or slow response eventually arrives. The call itself does not last longer.
   */
  private static final long MAX_RESPONSE_TIMEOUT_MS = 1_500;

  /** How long to wait for the response of the store after a peer has reported a change. */
  private static final long PEER_REVISION_GRACE_MS = 100;

  /** Interval between two checks of the age. */
  private static final long CHECK_MS = 100;

  private final KeyValueStore store;
  private final String key;
  private final ControlThread control;
  private final MillisClock clock;
  private final DecisionLog log;
  private final long retryMs;
  private final PeerReliance reliance;
  private final Consumer<WatchResult> listener;
  private boolean open;
  private boolean mustRead;
  private long responseTimeoutMs = RESPONSE_TIMEOUT_MS;
  private long revision;
  private volatile UpperTime confirmedByStore = UpperTime.NEVER;
  private volatile UpperTime confirmedByPeers = UpperTime.NEVER;
  private long peerRevisionMs;
  private long peerRevisionCall;
  private long newestPeerRevision;
  private long callNumber;
  private boolean pending;
  private boolean idle;
  private boolean absent;
  private long sentMs;
  private UpperTime sent = UpperTime.NEVER;
  private long waitMs;
  private Future<?> checkTask;

  /**
   * Creates a follower that is not started.
   *
   * @param store the store that has the key; not null
   * @param key the key; not null
   * @param control the control thread; not null
   * @param clock the time; not null
   * @param log the decision log; not null
   * @param retryMs delay after a failed call and while the key does not exist; milliseconds
   * @param reliance how far other gateways are relied on; not null
   * @param listener receives the result of each call; not null
   */
  KeyFollower(
      KeyValueStore store,
      String key,
      ControlThread control,
      MillisClock clock,
      DecisionLog log,
      long retryMs,
      PeerReliance reliance,
      Consumer<WatchResult> listener) {
    this.store = store;
    this.key = key;
    this.control = control;
    this.clock = clock;
    this.log = log;
    this.retryMs = retryMs;
    this.reliance = reliance;
    this.listener = listener;
  }

  /** Starts, or resumes from the newest known revision. */
  void start() {
    if (!open) {
      open = true;
      checkTask = control.scheduleRepeatedly(this::check, CHECK_MS);
      call();
    }
  }

  /** Stops. Pending responses are ignored, so the next start reads the key first. */
  void close() {
    if (open) {
      open = false;
      mustRead = true;
      pending = false;
      idle = false;
      callNumber++;
      checkTask.cancel(false);
    }
  }

  /** Returns the newest known revision; 0 if none is known. */
  long revision() {
    return revision;
  }

  /** Returns the time since the data was last confirmed; milliseconds. */
  long ageMs() {
    return clock.upper().sinceMs(confirmed());
  }

  /** Returns when the store or a peer last confirmed the data. Thread-safe. */
  UpperTime confirmed() {
    return confirmedByStore.latest(confirmedByPeers);
  }

  /** Returns whether the key did not exist at the last response of the store. */
  boolean isAbsent() {
    return absent;
  }

  private boolean isConfirmedByPeers() {
    return newestPeerRevision <= revision && isFresh();
  }

  private boolean isFresh() {
    return clock.upper().sinceMs(confirmedByPeers) <= reliance.maxAgeMs().getAsLong();
  }

  /** Returns whether peers confirm the data, so that no call is needed now. */
  private boolean canSkipCall() {
    if (!reliance.usesPeersOnly().getAsBoolean() || newestPeerRevision > revision) {
      return false;
    }
    // A new value must be detected sooner while the key is absent.
    // The next check of the age is one interval later.
    return absent ? isConfirmedByPeers() : ageMs() + CHECK_MS <= reliance.maxAgeMs().getAsLong();
  }

  /**
   * Processes the newest revision of the key that another process knows.
   *
   * @param known the newest revision known to that process
   * @param at when the store confirmed the revision to that process; not null
   */
  void onPeerRevision(long known, UpperTime at) {
    if (known == revision) {
      confirmedByPeers = confirmedByPeers.latest(at);
    } else if (known > revision && known > newestPeerRevision) {
      newestPeerRevision = known;
      peerRevisionMs = clock.nowMs();
      peerRevisionCall = callNumber;
      if (idle) {
        call();
      }
    }
  }

  /** Advances to the revision of a value that was obtained from another process. */
  void advanceTo(long newRevision) {
    if (newRevision > revision) {
      revision = newRevision;
      absent = false;
    }
  }

  private void call() {
    sentMs = clock.nowMs();
    sent = clock.upper();
    waitMs = nextWaitMs();
    pending = true;
    idle = false;
    long number = ++callNumber;
    if (mustRead) {
      waitMs = 0;
      UpperTime validAsOf = sent;
      store.read(key).thenAcceptAsync(result -> onRead(number, result, validAsOf), control);
    } else {
      WatchFreshness freshness = new WatchFreshness(sent, sentMs, waitMs);
      store
          .watch(key, revision, waitMs)
          .thenApply(result -> new Response(result, validAsOf(result, freshness)))
          .thenAcceptAsync(
              response -> onResult(number, response.result, response.validAsOf), control);
    }
  }

  private long nextWaitMs() {
    if (reliance.usesPeersOnly().getAsBoolean() && !absent) {
      return 0;
    }
    return isConfirmedByPeers() ? LONG_WAIT_MS : SHORT_WAIT_MS;
  }

  private void callUnlessConfirmed() {
    if (canSkipCall()) {
      idle = true;
    } else {
      call();
    }
  }

  private void onRead(long number, ReadResult result, UpperTime validAsOf) {
    mustRead &= !(open && result.isDone());
    onResult(number, result.toWatchResult(revision), validAsOf);
  }

  /**
   * Processes a response. A response that arrives after its call was abandoned counts too, because
   * the store does not report that change again.
   */
  private void onResult(long number, WatchResult result, UpperTime validAsOf) {
    boolean answered = result.event() != WatchResult.Event.UNAVAILABLE;
    boolean isNewest = number == callNumber;
    if (!open || !(isNewest || answered)) {
      return;
    }
    result.value().ifPresent(value -> revision = Math.max(revision, value.revision()));
    if (!isNewest) {
      listener.accept(result);
      return;
    }
    pending = false;
    if (answered) {
      recordResponse(result);
    }
    listener.accept(result);
    if (answered) {
      confirmedByStore = confirmedByStore.latest(validAsOf);
    }
    callAgain(result.event());
  }

  private void callAgain(WatchResult.Event event) {
    if (!open || pending) {
      return;
    }
    if (event == WatchResult.Event.CHANGED || event == WatchResult.Event.UNCHANGED) {
      callUnlessConfirmed();
    } else {
      control.schedule(this::callUnlessPending, retryMs);
    }
  }

  private UpperTime validAsOf(WatchResult result, WatchFreshness freshness) {
    return freshness.validAsOf(result.event() == WatchResult.Event.UNCHANGED, clock.nowMs());
  }

  private void recordResponse(WatchResult result) {
    responseTimeoutMs = Math.max(RESPONSE_TIMEOUT_MS, responseTimeoutMs / 2);
    if (result.event() != WatchResult.Event.UNCHANGED) {
      absent = result.event() == WatchResult.Event.ABSENT;
    } else if (reliance.usesPeersOnly().getAsBoolean() && callNumber > peerRevisionCall) {
      // The reported revision no longer exists. Keeping it would repeat calls without a pause.
      newestPeerRevision = Math.min(newestPeerRevision, revision);
    }
  }

  private void callUnlessPending() {
    if (open && !pending && !idle) {
      callUnlessConfirmed();
    }
  }

  private void check() {
    if (!open) {
      return;
    }
    if (idle && !canSkipCall()) {
      call();
    } else if (pending) {
      repeatIfNeeded();
    }
  }

  private void repeatIfNeeded() {
    reasonToRepeat()
        .ifPresent(
            why -> {
              log.write(
                  "watch_renewed",
                  "key={} why={} revision={} heard_of={} waited_ms={} age_ms={}",
                  key,
                  why,
                  revision,
                  newestPeerRevision,
                  clock.nowMs() - sentMs,
                  ageMs());
              call();
            });
  }

  /** Returns why the pending call must be repeated, if it must. */
  private Optional<String> reasonToRepeat() {
    long nowMs = clock.nowMs();
    if (newestPeerRevision > revision
        && sentMs <= peerRevisionMs
        && nowMs - peerRevisionMs > PEER_REVISION_GRACE_MS) {
      return Optional.of("change_missed");
    }
    if (nowMs - sentMs > waitMs + responseTimeoutMs) {
      responseTimeoutMs = Math.min(MAX_RESPONSE_TIMEOUT_MS, 2 * responseTimeoutMs);
      return Optional.of("answer_overdue");
    }
    return waitMs > SHORT_WAIT_MS && !isFresh() ? Optional.of("unconfirmed") : Optional.empty();
  }

  /** A response of the store and the time as of which it is valid. */
  private record Response(WatchResult result, UpperTime validAsOf) {}
}
