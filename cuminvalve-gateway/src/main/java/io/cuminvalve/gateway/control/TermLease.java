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
import java.util.random.RandomGenerator;

/**
 * Takes the term when it is vacant, keeps it, and tells who holds it.
 *
 * <p>The term is a key tied to a lease of the store. Its number is the revision at which the key
 * was written, so every later holder has a higher one. A holder that the store does not answer goes
 * on for a bounded time, in which it may renew leases at targets but cannot move any, since a move
 * has to be written first. All methods and callbacks are for the control thread.
 *
 * @since 0.2
 */
public final class TermLease {

  /** Learns of changes. */
  public interface Listener {

    /**
     * This process holds the term now.
     *
     * @param term its number
     */
    void onGained(long term);

    /** This process holds the term no longer. */
    void onLost();

    /**
     * Another process holds the term.
     *
     * @param peerAddress where gateways reach it; not null
     */
    void onOtherHolder(String peerAddress);
  }

  /** Older than anything that anybody relies on. */
  public static final long VACANT_AGE_MS = 60_000;

  /** Where the term is kept. */
  private static final String KEY = "cuminvalve/term";

  /** A vacant term is noticed after this time at the latest; above the store's least of 1 s. */
  private static final long TTL_MS = 1_500;

  private static final long KEEP_MS = 350;

  /** Two renewals have failed, or one was not answered. */
  private static final long OUTAGE_MS = 1_000;

  private static final long RETRY_MS = 200;

  /**
   * Candidates with fewer cores wait longer, in proportion: in a fleet of unequal hosts the holder
   * should be a strong one.
   */
  private static final double FULL_STRENGTH_CORES = 0.6;

  /** Candidates wait up to this long, so that one of them is usually alone. */
  private static final long MAX_DELAY_MS = 250;

  private static final long MIN_DELAY_MS = 60;

  /** So long after a store came back from an older copy its former holder goes first. */
  private static final long CAME_BACK_LATELY_MS = 3_000;

  /** It writes what it knows, gives the term up and takes it again: five calls. */
  private static final long FORMER_HOLDER_FIRST_MS = 1_000;

  /** Two readings of one moment differ by less. */
  private static final long SUSPENDED_MS = 50;

  private final KeyValueStore store;
  private final ControlThread control;
  private final MillisClock clock;
  private final RandomGenerator random;
  private final DecisionLog log;
  private final TermNote ownNote;
  private final boolean firstCandidate;
  private final double processorCores;
  private final long graceMs;
  private final Listener listener;
  private final RecordCodec codec;
  private final KeyFollower follower;

  private boolean closed;
  private boolean candidate;
  private boolean holding;
  private Optional<StoreLeaseId> lease = Optional.empty();
  private volatile UpperTime confirmed = UpperTime.NEVER;
  private UpperTime woken = UpperTime.NEVER;
  private long confirmedSuspendedMs;
  private Optional<Long> cameBackMs = Optional.empty();
  private boolean formerHolder;
  private boolean rewriting;

  /**
   * Creates a lease that does nothing yet.
   *
   * @param store keeps the term; not null
   * @param control the control thread; not null
   * @param clock the time; not null
   * @param random spreads candidates; not null
   * @param log takes decisions; not null
   * @param codec reads and writes what is kept; not null
   * @param ownNote what is written when this process takes the term; not null
   * @param firstCandidate whether it need not wait before it tries
   * @param processorCores how many cores this process may use; above 0
   * @param graceMs for how long it goes on without an answer of the store; milliseconds
   * @param reliance how far the holder and its deputies are relied on; not null
   * @param listener learns of changes; not null
   */
  public TermLease(
      KeyValueStore store,
      ControlThread control,
      MillisClock clock,
      RandomGenerator random,
      DecisionLog log,
      RecordCodec codec,
      TermNote ownNote,
      boolean firstCandidate,
      double processorCores,
      long graceMs,
      PeerReliance reliance,
      Listener listener) {
    this.store = store;
    this.control = control;
    this.clock = clock;
    this.random = random;
    this.log = log;
    this.codec = codec;
    this.ownNote = ownNote;
    this.firstCandidate = firstCandidate;
    this.processorCores = processorCores;
    this.graceMs = graceMs;
    this.listener = listener;
    this.follower =
        new KeyFollower(store, KEY, control, clock, log, RETRY_MS, reliance, this::onWatched);
  }

  /** Starts to watch the term. */
  public void start() {
    follower.start();
  }

  /**
   * Hears from another gateway who holds the term.
   *
   * <p>Without that the vacancy of the term, or the next holder, might stay unknown for as long as
   * a wait at the store hangs on a connection that fell silent, or the store turns this process
   * away. A later term counts without a look at the store: its number cannot be older news.
   *
   * @param heard the number of the term
   * @param peerAddress where gateways reach its holder; empty if unknown; not null
   * @param at when the store confirmed it; not null
   * @return whether it is no earlier term than the one known
   */
  public boolean onHeard(long heard, String peerAddress, UpperTime at) {
    if (heard < follower.revision()) {
      return false;
    }
    if (heard > follower.revision() && !holding && !peerAddress.isEmpty()) {
      candidate = false;
      follower.onTaken(heard);
      listener.onOtherHolder(peerAddress);
    }
    follower.onHeard(heard, at);
    return true;
  }

  /**
   * Returns the newest term that is known.
   *
   * @return its number; 0 if none is known
   */
  public long newest() {
    return follower.revision();
  }

  /**
   * Returns how old the knowledge is that the newest term is not over.
   *
   * @return milliseconds; {@link #VACANT_AGE_MS} if the store said that nobody holds it
   */
  public long ageMs() {
    return follower.isAbsent() ? VACANT_AGE_MS : follower.ageMs();
  }

  /**
   * Gives the term up, if this process holds it, and never takes it again.
   *
   * <p>The store's lease is ended, so that another process can take over at once. While the store
   * does not answer nobody can: then the term is kept until it does, or until this process ends.
   */
  public void close() {
    closed = true;
    follower.close();
    if (holding && !isOutage()) {
      lose("stopping");
    }
  }

  /**
   * Tells whether the store has not confirmed the term lately.
   *
   * @return false for a process that does not hold it
   */
  public boolean isOutage() {
    return holding && clock.upper().sinceMs(confirmed) > OUTAGE_MS;
  }

  /** Another process has proved that it holds a later term. */
  public void onReplaced() {
    renounce("replaced");
  }

  /**
   * Gives the term up, if this process holds it; it may take a later one.
   *
   * @param why for the log; not null
   */
  public void renounce(String why) {
    if (holding) {
      lose(why);
    }
  }

  /** Asks the store at once whether the term is still ours. */
  public void confirm() {
    if (holding) {
      keep();
    }
  }

  /**
   * Returns when the store last confirmed the term. For any thread.
   *
   * @return never null
   */
  public UpperTime confirmed() {
    return confirmed;
  }

  /** This host was suspended: others may hold the term by now. Asks the store at once. */
  public void onWoken() {
    woken = clock.upper();
    if (holding) {
      keepOrLose();
    }
  }

  /**
   * Tells whether the store has confirmed the term since this host was suspended last.
   *
   * @return false for a process that does not hold it
   */
  public boolean isConfirmedSinceWaking() {
    boolean sleptSince = suspendedMs() - confirmedSuspendedMs >= SUSPENDED_MS;
    return holding && !sleptSince && confirmed.compareTo(woken) >= 0;
  }

  /** Returns how much the upper bound of the clock is ahead of the lower one. */
  private long suspendedMs() {
    UpperTime upper = clock.upper();
    return upper.ms() - clock.nowMs();
  }

  private void onWatched(WatchResult result) {
    switch (result.event()) {
      case CHANGED -> {
        candidate = false;
        onNote(result.value().orElseThrow());
      }
      case ABSENT -> becomeCandidate();
      case UNCHANGED, UNAVAILABLE -> {
        // The holder that is known goes on.
      }
      default -> throw new IllegalStateException("unknown event " + result.event());
    }
  }

  private void onNote(StoreValue value) {
    try {
      listener.onOtherHolder(codec.decode(value.value(), TermNote.class).peerAddress());
    } catch (CodedException unreadable) {
      log.write("term_unreadable", "revision={} why=\"{}\"", value.revision(), unreadable);
    }
  }

  /**
   * Gives the term up to take it again at once: the store has come back from an older copy, and
   * what others know of the term is above what the store has of it.
   */
  public void takeAgain() {
    if (!holding) {
      return;
    }
    formerHolder = true;
    StoreLeaseId ended = lease.orElseThrow();
    store.endLease(ended).thenAcceptAsync(outcome -> onEnded(ended), control);
  }

  private void onEnded(StoreLeaseId ended) {
    if (holding && lease.equals(Optional.of(ended))) {
      lose("store_came_back_older");
    }
  }

  /** The store has come back from an older copy: whoever held the term knows who owns what. */
  public void onStoreCameBack() {
    cameBackMs = Optional.of(clock.nowMs());
    rewriting = holding;
  }

  private boolean cameBackWithin(long pastMs) {
    return cameBackMs.filter(atMs -> clock.nowMs() - atMs < pastMs).isPresent();
  }

  private void becomeCandidate() {
    if (candidate) {
      return;
    }
    candidate = true;
    control.schedule(this::apply, formerHolder ? 0 : candidateDelayMs());
  }

  private long candidateDelayMs() {
    double weakness = Math.max(1, FULL_STRENGTH_CORES / processorCores);
    long spreadMs = (long) (random.nextLong(MIN_DELAY_MS, MAX_DELAY_MS) * weakness);
    long delayMs = firstCandidate ? 0 : spreadMs;
    return cameBackWithin(CAME_BACK_LATELY_MS) ? delayMs + FORMER_HOLDER_FIRST_MS : delayMs;
  }

  private void apply() {
    if (candidate && !closed && !holding) {
      UpperTime sent = clock.upper();
      store.createLease(TTL_MS).thenAcceptAsync(result -> onLeaseCreated(result, sent), control);
    }
  }

  private void onLeaseCreated(LeaseResult result, UpperTime sent) {
    if (!candidate || closed) {
      result.lease().ifPresent(store::endLease);
      return;
    }
    if (result.lease().isEmpty()) {
      control.schedule(this::apply, RETRY_MS);
      return;
    }
    StoreLeaseId created = result.lease().get();
    store
        .write(KEY, codec.encode(ownNote), KeyValueStore.ABSENT, Optional.of(created))
        .thenAcceptAsync(written -> onWritten(written, created, sent), control);
  }

  private void onWritten(WriteResult written, StoreLeaseId created, UpperTime sent) {
    switch (written.outcome()) {
      case DONE -> gain(written.revision(), created, sent);
      case UNKNOWN -> store.read(KEY).thenAcceptAsync(r -> onReadBack(r, created, sent), control);
      case CONFLICT -> {
        candidate = false;
        store.endLease(created);
      }
      default -> tryAgain(created);
    }
  }

  /** Nobody has the term as far as is known, and the store tells that only once. */
  private void tryAgain(StoreLeaseId created) {
    store.endLease(created);
    control.schedule(this::apply, RETRY_MS);
  }

  /** A write without an answer is looked up, never guessed. */
  private void onReadBack(ReadResult result, StoreLeaseId created, UpperTime sent) {
    Optional<StoreValue> ours = result.value().filter(this::isOurs);
    if (ours.isPresent()) {
      gain(ours.get().revision(), created, sent);
    } else if (result.value().isPresent()) {
      candidate = false;
      store.endLease(created);
    } else {
      // Without its lease the write can no longer take effect, should it still be on its way.
      tryAgain(created);
    }
  }

  private boolean isOurs(StoreValue value) {
    try {
      return codec.decode(value.value(), TermNote.class).equals(ownNote);
    } catch (CodedException unreadable) {
      log.write("term_unreadable", "revision={} why=\"{}\"", value.revision(), unreadable);
      return false;
    }
  }

  private void gain(long term, StoreLeaseId created, UpperTime sent) {
    candidate = false;
    if (closed || holding) {
      store.endLease(created);
      return;
    }
    holding = true;
    formerHolder = false;
    follower.onTaken(term);
    follower.close();
    lease = Optional.of(created);
    confirmed = sent;
    confirmedSuspendedMs = suspendedMs();
    log.write("term_gained", "term={}", term);
    listener.onGained(term);
    control.schedule(this::keepRepeatedly, KEEP_MS);
  }

  private void keepRepeatedly() {
    if (!holding) {
      return;
    }
    keepOrLose();
    control.schedule(this::keepRepeatedly, KEEP_MS);
  }

  private void keepOrLose() {
    if (clock.upper().sinceMs(confirmed) > graceMs) {
      lose("not_confirmed");
    } else {
      keep();
    }
  }

  private void keep() {
    StoreLeaseId kept = lease.orElseThrow();
    UpperTime sent = clock.upper();
    long suspendedMs = suspendedMs();
    store
        .keepAlive(kept)
        .thenAcceptAsync(outcome -> onKept(kept, outcome, sent, suspendedMs), control);
  }

  private void onKept(StoreLeaseId kept, StoreOutcome outcome, UpperTime sent, long suspendedMs) {
    if (!holding || !lease.equals(Optional.of(kept))) {
      return;
    }
    if (outcome == StoreOutcome.DONE) {
      confirmed = confirmed.latest(sent);
      confirmedSuspendedMs = Math.max(confirmedSuspendedMs, suspendedMs);
      if (closed) {
        lose("stopping");
      }
    } else if (outcome == StoreOutcome.CONFLICT && !isRewriting()) {
      lose("lapsed");
    }
  }

  /**
   * The older copy may lack the lease. Nobody else takes the term so soon, and whoever does must
   * find what this process knows.
   */
  private boolean isRewriting() {
    return rewriting && cameBackWithin(FORMER_HOLDER_FIRST_MS);
  }

  private void lose(String why) {
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
