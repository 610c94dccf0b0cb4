package io.cuminvalve.gateway.control;

import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.ports.store.KeyValueStore;
import io.cuminvalve.ports.store.LeaseResult;
import io.cuminvalve.ports.store.ReadResult;
import io.cuminvalve.ports.store.StoreLeaseId;
import io.cuminvalve.ports.store.StoreOutcome;
import io.cuminvalve.ports.store.StoreValue;
import io.cuminvalve.ports.store.WatchResult;
import io.cuminvalve.ports.store.WriteResult;
import io.cuminvalve.wire.RecordCodec;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Leader election: acquires the term when it is vacant, renews it, and reports its holder.
 *
 * <p>The term is a key attached to a lease of the store. Its number is the revision at which the
 * key was written, so every later holder has a higher one. While the store does not respond, the
 * holder keeps the term for a bounded time. It can renew leases at targets during that time but
 * cannot move keys, because a move must be written to the store first. All methods and callbacks
 * run on the control thread.
 *
 * @since 0.2
 */
public final class TermLease {

  /** Receives changes of the term. */
  public interface Listener {

    /**
     * Called when this process has acquired the term.
     *
     * @param term the number of the term
     */
    void onGained(long term);

    /** Called when this process no longer holds the term. */
    void onLost();

    /**
     * Called when another process holds the term.
     *
     * @param peerAddress the peer address of the holder; not null
     */
    void onOtherHolder(String peerAddress);
  }

  /** Age reported for a vacant term; above every age limit in use. */
  public static final long VACANT_AGE_MS = 60_000;

  /** Store key of the term. */
  private static final String KEY = "cuminvalve/term";

  /** Upper bound on the time until a vacant term is detected. The store allows 1 s at the least. */
  private static final long LEASE_TTL_MS = 1_500;

  private static final long RENEW_INTERVAL_MS = 350;

  /**
   * Time without confirmation after which the store counts as unavailable. By then two renewals
   * have failed, or one got no response.
   */
  private static final long OUTAGE_MS = 1_000;

  private static final long RETRY_MS = 200;

  /**
   * Candidates with fewer cores than this wait proportionally longer, so that a host with enough
   * capacity becomes the holder in a fleet of unequal hosts.
   */
  private static final double UNDELAYED_CANDIDATE_CORES = 0.6;

  /** Upper bound of the random delay that keeps candidates from competing for the term. */
  private static final long MAX_CANDIDATE_DELAY_MS = 250;

  private static final long MIN_CANDIDATE_DELAY_MS = 60;

  /** How long after the store was restored from an older copy the former holder has priority. */
  private static final long RESTORE_PRIORITY_MS = 3_000;

  /**
   * Extra delay of other candidates while the former holder has priority. It covers five store
   * calls: the former holder writes its state, releases the term and acquires it again.
   */
  private static final long FORMER_HOLDER_ADVANTAGE_MS = 1_000;

  /** Two clock readings of the same moment differ by less than this. */
  private static final long CLOCK_TOLERANCE_MS = 50;

  private final KeyValueStore store;
  private final ControlThread control;
  private final MillisClock clock;
  private final RandomGenerator random;
  private final DecisionLog log;
  private final TermHolderRecord ownRecord;
  private final boolean firstCandidate;
  private final double processorCores;
  private final LongSupplier reachDelayMs;
  private final long graceMs;
  private final Listener listener;
  private final RecordCodec codec;
  private final KeyFollower follower;

  private boolean closed;
  private boolean candidate;
  private boolean holding;
  private Optional<StoreLeaseId> lease = Optional.empty();
  private volatile UpperTime confirmed = UpperTime.NEVER;
  private UpperTime resumed = UpperTime.NEVER;
  private long confirmedSuspendedMs;
  private Optional<Long> storeRestoredMs = Optional.empty();
  private boolean formerHolder;
  private boolean rewriting;

  /**
   * Creates a lease that is not started.
   *
   * @param store stores the term; not null
   * @param control the control thread; not null
   * @param clock the time; not null
   * @param random randomizes the delay of candidates; not null
   * @param log the decision log; not null
   * @param codec encodes and decodes the stored record; not null
   * @param ownRecord the record written when this process acquires the term; not null
   * @param firstCandidate whether this process tries to acquire a vacant term without delay
   * @param processorCores how many cores this process may use; above 0
   * @param reachDelayMs returns how much longer this process waits before it acquires a vacant
   *     term, given the targets that it reaches; milliseconds; not null
   * @param graceMs how long the term is kept without confirmation by the store; milliseconds
   * @param reliance how far the holder and its deputies are relied on; not null
   * @param listener receives changes of the term; not null
   */
  public TermLease(
      KeyValueStore store,
      ControlThread control,
      MillisClock clock,
      RandomGenerator random,
      DecisionLog log,
      RecordCodec codec,
      TermHolderRecord ownRecord,
      boolean firstCandidate,
      double processorCores,
      LongSupplier reachDelayMs,
      long graceMs,
      PeerReliance reliance,
      Listener listener) {
    this.store = store;
    this.control = control;
    this.clock = clock;
    this.random = random;
    this.log = log;
    this.codec = codec;
    this.ownRecord = ownRecord;
    this.firstCandidate = firstCandidate;
    this.processorCores = processorCores;
    this.reachDelayMs = reachDelayMs;
    this.graceMs = graceMs;
    this.listener = listener;
    this.follower =
        new KeyFollower(store, KEY, control, clock, log, RETRY_MS, reliance, this::onWatched);
  }

  /** Starts watching the term. */
  public void start() {
    follower.start();
  }

  /**
   * Processes the term reported by another gateway.
   *
   * <p>Without these reports a vacant term or a new holder could remain undetected while a watch
   * hangs on an unresponsive connection or the store refuses this process. A later term is accepted
   * without reading the store, since its number proves that the report is newer.
   *
   * @param reported the number of the reported term
   * @param peerAddress the peer address of its holder; empty if unknown; not null
   * @param at when the store confirmed the term; not null
   * @return whether the reported term is at least the newest known one
   */
  public boolean onHeard(long reported, String peerAddress, UpperTime at) {
    if (reported < follower.revision()) {
      return false;
    }
    if (reported > follower.revision() && !holding && !peerAddress.isEmpty()) {
      candidate = false;
      follower.advanceTo(reported);
      listener.onOtherHolder(peerAddress);
    }
    follower.onPeerRevision(reported, at);
    return true;
  }

  /**
   * Returns the newest known term.
   *
   * @return the number of the term; 0 if none is known
   */
  public long newest() {
    return follower.revision();
  }

  /**
   * Returns the time since the newest term was last confirmed.
   *
   * @return milliseconds; {@link #VACANT_AGE_MS} if the store reported a vacant term
   */
  public long ageMs() {
    return follower.isAbsent() ? VACANT_AGE_MS : follower.ageMs();
  }

  /**
   * Releases the term, if this process holds it, and never acquires it again.
   *
   * <p>The lease of the store is ended so that another process can take over immediately. While the
   * store does not respond no process can take over, so the term is kept until the store responds
   * or this process exits.
   */
  public void close() {
    closed = true;
    follower.close();
    if (holding && !isOutage()) {
      release("stopping");
    }
  }

  /**
   * Returns whether this process holds the term and recent renewals were not confirmed.
   *
   * @return false if this process does not hold the term
   */
  public boolean isOutage() {
    return holding && clock.upper().sinceMs(confirmed) > OUTAGE_MS;
  }

  /** Releases the term because another process has proved that it holds a later one. */
  public void onReplaced() {
    relinquish("replaced");
  }

  /**
   * Releases the term, if this process holds it. The process may acquire a later term.
   *
   * @param why the reason written to the log; not null
   */
  public void relinquish(String why) {
    if (holding) {
      release(why);
    }
  }

  /** Renews the term immediately to check whether this process still holds it. */
  public void confirm() {
    if (holding) {
      renew();
    }
  }

  /**
   * Returns when the store last confirmed the term. Thread-safe.
   *
   * @return never null
   */
  public UpperTime confirmed() {
    return confirmed;
  }

  /**
   * Renews the term immediately after this host was suspended, because another process may have
   * acquired it meanwhile.
   */
  public void onWoken() {
    resumed = clock.upper();
    if (holding) {
      renewOrRelease();
    }
  }

  /**
   * Returns whether the store has confirmed the term since the last suspension of this host.
   *
   * @return false if this process does not hold the term
   */
  public boolean isConfirmedSinceResume() {
    boolean suspendedSince = suspendedMs() - confirmedSuspendedMs >= CLOCK_TOLERANCE_MS;
    return holding && !suspendedSince && confirmed.compareTo(resumed) >= 0;
  }

  /** Returns the difference between the upper and the lower bound of the clock. */
  private long suspendedMs() {
    UpperTime upper = clock.upper();
    return upper.ms() - clock.nowMs();
  }

  private void onWatched(WatchResult result) {
    switch (result.event()) {
      case CHANGED -> {
        candidate = false;
        onStoredHolder(result.value().orElseThrow());
      }
      case ABSENT -> startCandidacy();
      case UNCHANGED, UNAVAILABLE -> {
        // The known holder stays.
      }
      default -> throw new IllegalStateException("unknown event " + result.event());
    }
  }

  private void onStoredHolder(StoreValue value) {
    try {
      listener.onOtherHolder(codec.decode(value.value(), TermHolderRecord.class).peerAddress());
    } catch (CodedException unreadable) {
      log.write("term_unreadable", "revision={} why=\"{}\"", value.revision(), unreadable);
    }
  }

  /**
   * Releases the term and acquires it again without delay. Needed after the store was restored from
   * an older copy, because other processes know a higher term revision than the store has.
   */
  public void reacquire() {
    if (!holding) {
      return;
    }
    formerHolder = true;
    StoreLeaseId ended = lease.orElseThrow();
    store.endLease(ended).thenAcceptAsync(outcome -> onEnded(ended), control);
  }

  private void onEnded(StoreLeaseId ended) {
    if (holding && lease.equals(Optional.of(ended))) {
      release("store_came_back_older");
    }
  }

  /**
   * Notes that the store was restored from an older copy. The former holder then has priority,
   * because it knows the current owners.
   */
  public void onStoreCameBack() {
    storeRestoredMs = Optional.of(clock.nowMs());
    rewriting = holding;
  }

  private boolean isRestoredWithin(long windowMs) {
    return storeRestoredMs.filter(atMs -> clock.nowMs() - atMs < windowMs).isPresent();
  }

  private void startCandidacy() {
    if (candidate) {
      return;
    }
    candidate = true;
    control.schedule(this::tryAcquire, formerHolder ? 0 : candidateDelayMs());
  }

  private long candidateDelayMs() {
    double slowdown = Math.max(1, UNDELAYED_CANDIDATE_CORES / processorCores);
    long spreadMs =
        (long) (random.nextLong(MIN_CANDIDATE_DELAY_MS, MAX_CANDIDATE_DELAY_MS) * slowdown);
    long delayMs = (firstCandidate ? 0 : spreadMs) + reachDelayMs.getAsLong();
    return isRestoredWithin(RESTORE_PRIORITY_MS) ? delayMs + FORMER_HOLDER_ADVANTAGE_MS : delayMs;
  }

  private void tryAcquire() {
    if (candidate && !closed && !holding) {
      UpperTime sent = clock.upper();
      store
          .createLease(LEASE_TTL_MS)
          .thenAcceptAsync(result -> onLeaseCreated(result, sent), control);
    }
  }

  private void onLeaseCreated(LeaseResult result, UpperTime sent) {
    if (!candidate || closed) {
      result.lease().ifPresent(store::endLease);
      return;
    }
    if (result.lease().isEmpty()) {
      control.schedule(this::tryAcquire, RETRY_MS);
      return;
    }
    StoreLeaseId created = result.lease().get();
    store
        .write(KEY, codec.encode(ownRecord), KeyValueStore.ABSENT, Optional.of(created))
        .thenAcceptAsync(written -> onWritten(written, created, sent), control);
  }

  private void onWritten(WriteResult written, StoreLeaseId created, UpperTime sent) {
    switch (written.outcome()) {
      case DONE -> onAcquired(written.revision(), created, sent);
      case UNKNOWN -> store.read(KEY).thenAcceptAsync(r -> onReadBack(r, created, sent), control);
      case CONFLICT -> {
        candidate = false;
        store.endLease(created);
      }
      default -> retryAcquire(created);
    }
  }

  /** Schedules another attempt, because the watch reports a vacant term only once. */
  private void retryAcquire(StoreLeaseId created) {
    store.endLease(created);
    control.schedule(this::tryAcquire, RETRY_MS);
  }

  /** Resolves a write with unknown outcome by reading the key. */
  private void onReadBack(ReadResult result, StoreLeaseId created, UpperTime sent) {
    Optional<StoreValue> own = result.value().filter(this::isOwn);
    if (own.isPresent()) {
      onAcquired(own.get().revision(), created, sent);
    } else if (result.value().isPresent()) {
      candidate = false;
      store.endLease(created);
    } else {
      // Ending the lease keeps a write that is still in flight from taking effect.
      retryAcquire(created);
    }
  }

  private boolean isOwn(StoreValue value) {
    try {
      return codec.decode(value.value(), TermHolderRecord.class).equals(ownRecord);
    } catch (CodedException unreadable) {
      log.write("term_unreadable", "revision={} why=\"{}\"", value.revision(), unreadable);
      return false;
    }
  }

  private void onAcquired(long term, StoreLeaseId created, UpperTime sent) {
    candidate = false;
    if (closed || holding) {
      store.endLease(created);
      return;
    }
    holding = true;
    formerHolder = false;
    follower.advanceTo(term);
    follower.close();
    lease = Optional.of(created);
    confirmed = sent;
    confirmedSuspendedMs = suspendedMs();
    log.write("term_gained", "term={}", term);
    listener.onGained(term);
    control.schedule(this::renewRepeatedly, RENEW_INTERVAL_MS);
  }

  private void renewRepeatedly() {
    if (!holding) {
      return;
    }
    renewOrRelease();
    control.schedule(this::renewRepeatedly, RENEW_INTERVAL_MS);
  }

  private void renewOrRelease() {
    if (clock.upper().sinceMs(confirmed) > graceMs) {
      release("not_confirmed");
    } else {
      renew();
    }
  }

  private void renew() {
    StoreLeaseId renewed = lease.orElseThrow();
    UpperTime sent = clock.upper();
    long suspendedMs = suspendedMs();
    store
        .keepAlive(renewed)
        .thenAcceptAsync(outcome -> onRenewed(renewed, outcome, sent, suspendedMs), control);
  }

  private void onRenewed(
      StoreLeaseId renewed, StoreOutcome outcome, UpperTime sent, long suspendedMs) {
    if (!holding || !lease.equals(Optional.of(renewed))) {
      return;
    }
    if (outcome == StoreOutcome.DONE) {
      confirmed = confirmed.latest(sent);
      confirmedSuspendedMs = Math.max(confirmedSuspendedMs, suspendedMs);
      if (closed) {
        release("stopping");
      }
    } else if (outcome == StoreOutcome.CONFLICT && !isRewriting()) {
      release("lapsed");
    }
  }

  /**
   * Returns whether a missing lease is tolerated because the store was just restored from an older
   * copy that may lack it. Other candidates are delayed meanwhile, and a later holder must find the
   * state that this process writes.
   */
  private boolean isRewriting() {
    return rewriting && isRestoredWithin(FORMER_HOLDER_ADVANTAGE_MS);
  }

  private void release(String why) {
    holding = false;
    rewriting = false;
    lease.ifPresent(store::endLease);
    lease = Optional.empty();
    log.write("term_lost", "why={}", why);
    listener.onLost();
    if (!closed) {
      follower.start();
    }
  }
}
