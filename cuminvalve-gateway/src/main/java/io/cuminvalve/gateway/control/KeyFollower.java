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
 * Follows one key of the store, with a bound on how old its knowledge may grow.
 *
 * <p>Changes are rare, so it waits long for the next one while others confirm that it missed
 * nothing. Where it relies on them entirely it does not wait at all, but looks once when they tell
 * of a change or fall silent. A connection may fall silent without a sign: a wait of 30 s on it
 * would hide every change for as long. So knowledge that nobody confirms for a while ends the long
 * wait; from then on waits are short, and one whose answer is overdue is taken up anew on another
 * connection. All methods are for the control thread.
 */
final class KeyFollower {

  /** How long a call waits while others confirm what is known; the longest the store allows. */
  static final long LONG_WAIT_MS = 30_000;

  /** How long it waits otherwise: two calls a second, and a quarter of what a change may take. */
  static final long SHORT_WAIT_MS = 500;

  /** An answer is overdue so long after the wait, at first: a slow store takes up to 240 ms. */
  static final long ANSWER_MS = 400;

  /**
   * Each overdue answer doubles that, up to this, so that an answer that is large or slow arrives
   * at last; the call itself ends no later.
   */
  private static final long MAX_ANSWER_MS = 1_500;

  /** How long after the news of a change from others the store's own answer is waited for. */
  private static final long NEWS_GRACE_MS = 100;

  /** Pause between two looks at the age. */
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
  private long answerMs = ANSWER_MS;
  private long revision;
  private volatile UpperTime answered = UpperTime.NEVER;
  private volatile UpperTime heard = UpperTime.NEVER;
  private long newerHeardMs;
  private long newerHeardCall;
  private long newestHeard;
  private long callNumber;
  private boolean waiting;
  private boolean resting;
  private boolean absent;
  private long sentMs;
  private UpperTime sent = UpperTime.NEVER;
  private long waitMs;
  private Future<?> checking;

  /**
   * Creates a follower that does nothing yet.
   *
   * @param store where the key is; not null
   * @param key the key; not null
   * @param control the control thread; not null
   * @param clock the time; not null
   * @param log takes decisions; not null
   * @param retryMs pause after a call that failed, and while the key does not exist; milliseconds
   * @param reliance how far others are relied on; not null
   * @param listener takes the end of each wait; not null
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

  /** Begins, or goes on from what is known. */
  void start() {
    if (!open) {
      open = true;
      checking = control.scheduleRepeatedly(this::check, CHECK_MS);
      call();
    }
  }

  /** Ends; answers that are under way are ignored, so the next start reads the key first. */
  void close() {
    if (open) {
      open = false;
      mustRead = true;
      waiting = false;
      resting = false;
      callNumber++;
      checking.cancel(false);
    }
  }

  /** Returns the newest revision that was seen; 0 if none was. */
  long revision() {
    return revision;
  }

  /** Returns for how long nobody has confirmed what is known; milliseconds. */
  long ageMs() {
    return clock.upper().sinceMs(confirmed());
  }

  /** Returns when what is known was last confirmed, by the store or by others; for any thread. */
  UpperTime confirmed() {
    return answered.latest(heard);
  }

  /** Tells whether the key did not exist when the store was asked last. */
  boolean isAbsent() {
    return absent;
  }

  private boolean isConfirmedByOthers() {
    return newestHeard <= revision && isFresh();
  }

  private boolean isFresh() {
    return clock.upper().sinceMs(heard) <= reliance.maxAgeMs().getAsLong();
  }

  /** Tells whether the store need not be asked now. */
  private boolean mayRest() {
    if (!reliance.usesPeersOnly().getAsBoolean() || newestHeard > revision) {
      return false;
    }
    // Who comes next matters more while there is nothing.
    // The next look at the age is a pause later.
    return absent ? isConfirmedByOthers() : ageMs() + CHECK_MS <= reliance.maxAgeMs().getAsLong();
  }

  /**
   * Learns from another process what it knows of the key.
   *
   * @param known the newest revision that it knows
   * @param at when the store told it so; not null
   */
  void onHeard(long known, UpperTime at) {
    if (known == revision) {
      heard = heard.latest(at);
    } else if (known > revision && known > newestHeard) {
      newestHeard = known;
      newerHeardMs = clock.nowMs();
      newerHeardCall = callNumber;
      if (resting) {
        call();
      }
    }
  }

  /** Learns a value's revision, and elsewhere the value, from another process: it is seen. */
  void onTaken(long taken) {
    if (taken > revision) {
      revision = taken;
      absent = false;
    }
  }

  private void call() {
    sentMs = clock.nowMs();
    sent = clock.upper();
    waitMs = nextWaitMs();
    waiting = true;
    resting = false;
    long number = ++callNumber;
    if (mustRead) {
      waitMs = 0;
      UpperTime proved = sent;
      store.read(key).thenAcceptAsync(result -> onRead(number, result, proved), control);
    } else {
      WaitProof proof = new WaitProof(sent, sentMs, waitMs);
      store
          .watch(key, revision, waitMs)
          .thenApply(result -> new Answer(result, provedBy(result, proof)))
          .thenAcceptAsync(answer -> onResult(number, answer.result, answer.proved), control);
    }
  }

  private long nextWaitMs() {
    if (reliance.usesPeersOnly().getAsBoolean() && !absent) {
      return 0;
    }
    return isConfirmedByOthers() ? LONG_WAIT_MS : SHORT_WAIT_MS;
  }

  private void callOrRest() {
    if (mayRest()) {
      resting = true;
    } else {
      call();
    }
  }

  private void onRead(long number, ReadResult result, UpperTime proved) {
    mustRead &= !(open && result.isDone());
    onResult(number, result.toWatchResult(revision), proved);
  }

  /**
   * Takes an answer. One that arrived while its call was being given up counts as well: the store
   * does not tell that change again.
   */
  private void onResult(long number, WatchResult result, UpperTime proved) {
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
    waiting = false;
    if (answered) {
      noteAnswer(result);
    }
    listener.accept(result);
    if (answered) {
      this.answered = this.answered.latest(proved);
    }
    callAgain(result.event());
  }

  private void callAgain(WatchResult.Event event) {
    if (!open || waiting) {
      return;
    }
    if (event == WatchResult.Event.CHANGED || event == WatchResult.Event.UNCHANGED) {
      callOrRest();
    } else {
      control.schedule(this::callUnlessWaiting, retryMs);
    }
  }

  private UpperTime provedBy(WatchResult result, WaitProof proof) {
    return proof.onAnswer(result.event() == WatchResult.Event.UNCHANGED, clock.nowMs());
  }

  private void noteAnswer(WatchResult result) {
    answerMs = Math.max(ANSWER_MS, answerMs / 2);
    if (result.event() != WatchResult.Event.UNCHANGED) {
      absent = result.event() == WatchResult.Event.ABSENT;
    } else if (reliance.usesPeersOnly().getAsBoolean() && callNumber > newerHeardCall) {
      // What was told since is gone again: without a wait it would be asked for without end.
      newestHeard = Math.min(newestHeard, revision);
    }
  }

  private void callUnlessWaiting() {
    if (open && !waiting && !resting) {
      callOrRest();
    }
  }

  private void check() {
    if (!open) {
      return;
    }
    if (resting && !mayRest()) {
      call();
    } else if (waiting) {
      renewIfNeeded();
    }
  }

  private void renewIfNeeded() {
    reasonToRenew()
        .ifPresent(
            why -> {
              log.write(
                  "watch_renewed",
                  "key={} why={} revision={} heard_of={} waited_ms={} age_ms={}",
                  key,
                  why,
                  revision,
                  newestHeard,
                  clock.nowMs() - sentMs,
                  ageMs());
              call();
            });
  }

  /** Tells why the wait that is under way must not be relied on any longer. */
  private Optional<String> reasonToRenew() {
    long nowMs = clock.nowMs();
    if (newestHeard > revision && sentMs <= newerHeardMs && nowMs - newerHeardMs > NEWS_GRACE_MS) {
      return Optional.of("change_missed");
    }
    if (nowMs - sentMs > waitMs + answerMs) {
      answerMs = Math.min(MAX_ANSWER_MS, 2 * answerMs);
      return Optional.of("answer_overdue");
    }
    return waitMs > SHORT_WAIT_MS && !isFresh() ? Optional.of("unconfirmed") : Optional.empty();
  }

  /** What the store answered, and as of when that is known to hold. */
  private record Answer(WatchResult result, UpperTime proved) {}
}
