package io.cuminvalve.core.exchange;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * State machine of one request, from its arrival to its single final answer.
 *
 * <p>A request that is not idempotent is sent to another target only after proof that it did not
 * run. A request that waits for a slot is refused early, while the caller still has time to retry
 * elsewhere. At the deadline the final answer is sent immediately. Events after the final answer
 * have no effect, except that slots are returned. Not thread-safe.
 *
 * @since 0.2
 */
public final class ExchangeStateMachine {

  /** Maximum wait for a slot, as a fraction of the latency objective. */
  private static final double SLOT_WAIT_FRACTION = 0.25;

  /** Subtracted from that wait to allow for the round trip to the caller and for late timers. */
  private static final long SLOT_WAIT_RESERVE_MS = 30;

  /** Retry delay for a request that did not run; sufficient for a move of keys to complete. */
  private static final long RETRY_AFTER_MS = 250;

  /** Retry delay if the required target is overloaded, which lasts longer than a move of keys. */
  private static final long BUSY_RETRY_AFTER_MS = 500;

  /** Delay before a request is retried at the same owner. */
  private static final long SAME_OWNER_RETRY_DELAY_MS = 40;

  /** Number of attempts that provably did not run after which a request is refused. */
  private static final int MAX_REFUSALS = 4;

  /** Number of peers to which one request is forwarded at most. */
  private static final int MAX_FORWARDS = 3;

  /** The lowest HTTP status that counts as a failure of the target. */
  private static final int FIRST_ERROR_STATUS = 500;

  /** Reason in the log for a request that was not forwarded. */
  private static final String QUARANTINED = "quarantined";

  private static final String LIMITED = "target_limited";

  private static final String RESTING = "target_resting";

  private static final String STUCK_KEY = "key_stuck";
  private static final String STOP_LIMIT = "stop_limit";
  private static final String EVACUATED = "service_evacuated";
  private static final String UNREACHABLE = "targets_unreachable";
  private static final String REFUSED_BY_PEER = "refused_by_peer";

  private final ExchangeProfile profile;
  private final BooleanSupplier retryBudget;
  private boolean done;
  private boolean sending;
  private boolean mayHaveRun;
  private int runs;
  private int refusals;
  private int forwards;
  private int forwardedLimit;

  /**
   * Creates the state machine of one request.
   *
   * @param profile the properties of the request; not null
   * @param retryBudget takes one retry from the shared budget and returns whether one was
   *     available; not null
   */
  public ExchangeStateMachine(ExchangeProfile profile, BooleanSupplier retryBudget) {
    this(profile, retryBudget, 0);
  }

  /**
   * Creates the state machine of a request that a peer forwarded.
   *
   * @param profile the properties of the request; not null
   * @param retryBudget takes one retry from the shared budget and returns whether one was
   *     available; not null
   * @param earlierRuns the number of targets on which it may have run before; they count against
   *     the maximum number of attempts, but a refusal says nothing about them
   */
  public ExchangeStateMachine(
      ExchangeProfile profile, BooleanSupplier retryBudget, int earlierRuns) {
    this.profile = profile;
    this.retryBudget = retryBudget;
    this.runs = earlierRuns;
  }

  /**
   * Starts the request.
   *
   * @param shed whether to shed this request because the owner of its key cannot handle all
   *     requests sent to it
   * @param nowMs the current time; milliseconds
   * @return the effects to apply; never null
   */
  public List<ExchangeEffect> onStart(boolean shed, long nowMs) {
    if (done) {
      return List.of();
    }
    return shed ? end("overload_busy") : List.of(acquireSlot(nowMs));
  }

  /**
   * Handles an acquired slot.
   *
   * @return the effects to apply; never null
   */
  public List<ExchangeEffect> onSlot() {
    if (done) {
      return List.of(new ExchangeEffect.ReturnSlot());
    }
    sending = true;
    return List.of(new ExchangeEffect.Send());
  }

  /**
   * Handles the timeout of the slot acquisition.
   *
   * @param reason the reason, for the log; not null
   * @return the effects to apply; never null
   */
  public List<ExchangeEffect> onNoSlot(String reason) {
    return done ? List.of() : end(reason);
  }

  /**
   * Handles places that are scarce and of which none is expected to be free in time.
   *
   * @param reason the reason, for the log; not null
   * @param retryAfterMs delay after which a retry is likely to get one; milliseconds
   * @return the effects to apply; never null
   */
  public List<ExchangeEffect> onNoPlace(String reason, long retryAfterMs) {
    return done ? List.of() : end(reason, retryAfterMs);
  }

  /**
   * Handles the quarantine of the request, after targets crashed during requests like this one: it
   * is sent to no further target.
   *
   * @param retryAfterMs delay until the quarantine is reviewed; milliseconds
   * @return the effects to apply; never null
   */
  public List<ExchangeEffect> onQuarantined(long retryAfterMs) {
    return done ? List.of() : end(QUARANTINED, retryAfterMs);
  }

  /**
   * Handles rate limits: all eligible targets have reached the limits that they announced.
   *
   * @param retryAfterMs delay until they accept requests again; milliseconds
   * @return the effects to apply; never null
   */
  public List<ExchangeEffect> onLimited(long retryAfterMs) {
    return done ? List.of() : end(LIMITED, retryAfterMs);
  }

  /**
   * Handles back-offs: all eligible targets have requested one.
   *
   * @param retryAfterMs delay until the first back-off ends; milliseconds
   * @return the effects to apply; never null
   */
  public List<ExchangeEffect> onTargetBackingOff(long retryAfterMs) {
    return done ? List.of() : end(RESTING, retryAfterMs);
  }

  /**
   * Handles a key whose owner cannot run the request and that cannot be moved at present.
   *
   * @param retryAfterMs delay after which a retry may succeed; milliseconds
   * @return the effects to apply; never null
   */
  public List<ExchangeEffect> onStuckKey(long retryAfterMs) {
    return done ? List.of() : end(STUCK_KEY, retryAfterMs);
  }

  /**
   * Handles a service all of whose targets are in evacuated data centres.
   *
   * @param retryAfterMs delay after which a retry may succeed; milliseconds
   * @return the effects to apply; never null
   */
  public List<ExchangeEffect> onServiceEvacuated(long retryAfterMs) {
    return done ? List.of() : end(EVACUATED, retryAfterMs);
  }

  /**
   * Handles a gateway that has no path to any target that may run the request.
   *
   * @param peerKnown whether a peer that has one is known
   * @param retryAfterMs delay after which a retry may succeed; milliseconds
   * @param nowMs the current time; milliseconds
   * @return the effects to apply; never null
   */
  public List<ExchangeEffect> onUnreachable(boolean peerKnown, long retryAfterMs, long nowMs) {
    if (done) {
      return List.of();
    }
    return mayForward(peerKnown, nowMs) ? forward() : end(UNREACHABLE, retryAfterMs);
  }

  /**
   * Handles a stop of this process, which leaves it too little time to send the request itself.
   *
   * @param peerKnown whether a peer is known that may send it
   * @param reason the reason, for the log; not null
   * @param nowMs the current time; milliseconds
   * @return the effects to apply; never null
   */
  public List<ExchangeEffect> onStopping(boolean peerKnown, String reason, long nowMs) {
    if (done) {
      return List.of();
    }
    return mayForward(peerKnown, nowMs) ? forward() : end(reason);
  }

  /**
   * Handles a complete answer of a target that a peer passed on.
   *
   * @param status the HTTP status
   * @param runsThere the number of targets on which the request may have run, as the peer knows
   * @param peerKnown whether a peer is known that has not been tried
   * @param nowMs the current time; milliseconds
   * @return the effects to apply; never null
   */
  public List<ExchangeEffect> onPeerAnswer(
      int status, int runsThere, boolean peerKnown, long nowMs) {
    if (done) {
      return List.of();
    }
    sending = false;
    mayHaveRun = true;
    runs = Math.max(runs + 1, runsThere);
    boolean failed = status >= FIRST_ERROR_STATUS;
    if (failed && !profile.keyed() && mayForward(peerKnown, nowMs) && mayRetry(nowMs)) {
      return forward();
    }
    done = true;
    return List.of(new ExchangeEffect.Relay(failed));
  }

  /**
   * Handles a peer that has not run the request and will not run it, or that cannot be reached.
   *
   * @param refusalsThere the number of attempts of the peer that provably did not run
   * @param retryAfterMs delay after which a retry may succeed; milliseconds
   * @param peerKnown whether a peer is known that has not been tried
   * @param nowMs the current time; milliseconds
   * @return the effects to apply; never null
   */
  public List<ExchangeEffect> onPeerRefusal(
      int refusalsThere, long retryAfterMs, boolean peerKnown, long nowMs) {
    if (done) {
      return List.of();
    }
    sending = false;
    refusals += Math.max(1, refusalsThere);
    // Targets that refused the request have received it, so the next one counts as a retry.
    boolean tryNext =
        refusals < MAX_REFUSALS
            && mayForward(peerKnown, nowMs)
            && (refusalsThere == 0 || retryBudget.getAsBoolean());
    return tryNext ? forward() : end(REFUSED_BY_PEER, retryAfterMs);
  }

  /**
   * Handles a peer that received the request and sent no usable answer.
   *
   * @param runsThere the number of targets on which it may have run, as the peer knows; 0 if it did
   *     not say, which counts as all that it was allowed
   * @param reason the reason, for the log; not null
   * @param peerKnown whether a peer is known that has not been tried
   * @param nowMs the current time; milliseconds
   * @return the effects to apply; never null
   */
  public List<ExchangeEffect> onPeerFailure(
      int runsThere, String reason, boolean peerKnown, long nowMs) {
    if (done) {
      return List.of();
    }
    sending = false;
    mayHaveRun = true;
    runs = runsThere == 0 ? forwardedLimit : Math.max(runs + 1, runsThere);
    return mayForward(peerKnown, nowMs) && mayRetry(nowMs) ? forward() : end(reason);
  }

  /**
   * Handles a complete answer of the target, which proves that the request ran.
   *
   * @param status the HTTP status
   * @param nowMs the current time; milliseconds
   * @return the effects to apply; never null
   */
  public List<ExchangeEffect> onAnswer(int status, long nowMs) {
    if (done) {
      return List.of();
    }
    sending = false;
    mayHaveRun = true;
    runs++;
    boolean failed = status >= FIRST_ERROR_STATUS;
    if (failed && !profile.keyed() && mayRetry(nowMs)) {
      return List.of(new ExchangeEffect.AvoidTarget(), acquireSlot(nowMs));
    }
    done = true;
    return List.of(new ExchangeEffect.Relay(failed));
  }

  /**
   * Handles proof from the target that it has not run the request and will not run it.
   *
   * @param nowMs the current time; milliseconds
   * @return the effects to apply; never null
   */
  public List<ExchangeEffect> onNotExecuted(long nowMs) {
    if (done) {
      return List.of();
    }
    sending = false;
    refusals++;
    // A refused request was sent to the target, so it also counts against the retry budget.
    boolean retries = refusals < MAX_REFUSALS && hasTime(nowMs) && retryBudget.getAsBoolean();
    return retries ? retry(nowMs) : end("refused_by_target");
  }

  /**
   * Handles an attempt that ended without a usable answer.
   *
   * @param mayHaveRunThere whether any byte of the request may have reached the target
   * @param reason the reason, for the log; not null
   * @param nowMs the current time; milliseconds
   * @return the effects to apply; never null
   */
  public List<ExchangeEffect> onFailure(boolean mayHaveRunThere, String reason, long nowMs) {
    if (done) {
      return List.of();
    }
    sending = false;
    boolean retries;
    if (mayHaveRunThere) {
      mayHaveRun = true;
      runs++;
      retries = mayRetry(nowMs);
    } else {
      refusals++;
      retries = refusals < MAX_REFUSALS && hasTime(nowMs);
    }
    return retries ? retry(nowMs) : end(reason);
  }

  /**
   * Handles expiry of the caller's deadline or the route's timeout.
   *
   * @param handedOver whether any byte of the current attempt may have reached the target
   * @return the effects to apply; never null
   */
  public List<ExchangeEffect> onDeadline(boolean handedOver) {
    return done ? List.of() : endNow(handedOver, "timeout", "timeout_unsent", true);
  }

  /**
   * Handles the end of a stop of this process, which leaves the request no more time.
   *
   * @param handedOver whether any byte of the current attempt may have reached the target
   * @return the effects to apply; never null
   */
  public List<ExchangeEffect> onStopLimit(boolean handedOver) {
    return done ? List.of() : endNow(handedOver, STOP_LIMIT, STOP_LIMIT, false);
  }

  /**
   * Handles a closed caller connection.
   *
   * @return the effects to apply; never null
   */
  public List<ExchangeEffect> onCallerGone() {
    if (done) {
      return List.of();
    }
    done = true;
    List<ExchangeEffect> effects = new ArrayList<>();
    effects.add(new ExchangeEffect.CancelSlotRequest());
    if (sending) {
      effects.add(new ExchangeEffect.Abandon(false));
    }
    effects.add(new ExchangeEffect.Drop());
    return effects;
  }

  /**
   * Returns whether the final answer has been decided.
   *
   * @return true if nothing more may be sent
   */
  public boolean isDone() {
    return done;
  }

  /**
   * Returns the number of targets on which the request ran or may have run.
   *
   * @return at least 0
   */
  public int runs() {
    return runs;
  }

  /**
   * Returns the number of targets on which the request may have run when the peer to which it is
   * forwarded is done with it.
   *
   * @return more than {@link #runs()}; 0 if it was not forwarded
   */
  public int forwardedLimit() {
    return forwardedLimit;
  }

  /**
   * Returns the number of attempts that provably did not run.
   *
   * @return at least 0
   */
  public int refusals() {
    return refusals;
  }

  private ExchangeEffect acquireSlot(long nowMs) {
    long limitMs =
        profile.arrivedMs()
            + (long) (profile.latencyObjectiveMs() * SLOT_WAIT_FRACTION)
            - SLOT_WAIT_RESERVE_MS;
    return new ExchangeEffect.AcquireSlot(Math.max(SAME_OWNER_RETRY_DELAY_MS, limitMs - nowMs));
  }

  private List<ExchangeEffect> retry(long nowMs) {
    // Only the owner of a key may run the request: either ownership has changed, or a short delay
    // helps.
    ExchangeEffect beforeRetry =
        profile.keyed()
            ? new ExchangeEffect.AwaitNewerOwners(SAME_OWNER_RETRY_DELAY_MS)
            : new ExchangeEffect.AvoidTarget();
    return List.of(beforeRetry, acquireSlot(nowMs));
  }

  private boolean mayForward(boolean peerKnown, long nowMs) {
    return peerKnown && forwards < MAX_FORWARDS && hasTime(nowMs);
  }

  private List<ExchangeEffect> forward() {
    forwards++;
    sending = true;
    // Half of the attempts that are left: a peer that fails without a word has used all of its own.
    forwardedLimit = runs + Math.max(1, (profile.maxAttempts() - runs + 1) / 2);
    return List.of(new ExchangeEffect.ForwardToPeer());
  }

  private boolean mayRetry(long nowMs) {
    return profile.idempotent()
        && runs < profile.maxAttempts()
        && hasTime(nowMs)
        && retryBudget.getAsBoolean();
  }

  private boolean hasTime(long nowMs) {
    return profile.deadlineMs() - nowMs > SAME_OWNER_RETRY_DELAY_MS;
  }

  /** Ends a request that may have an attempt in progress. */
  private List<ExchangeEffect> endNow(
      boolean handedOver, String reason, String unsentReason, boolean late) {
    mayHaveRun |= sending && handedOver;
    List<ExchangeEffect> effects = new ArrayList<>();
    effects.add(new ExchangeEffect.CancelSlotRequest());
    effects.add(
        mayHaveRun
            ? new ExchangeEffect.GiveUp(true, reason)
            : new ExchangeEffect.Refuse(RETRY_AFTER_MS, unsentReason));
    if (sending) {
      effects.add(new ExchangeEffect.Abandon(late));
    }
    done = true;
    return effects;
  }

  private List<ExchangeEffect> end(String reason) {
    return end(reason, reason.endsWith("_busy") ? BUSY_RETRY_AFTER_MS : RETRY_AFTER_MS);
  }

  /** Ends a request that has no attempt in progress. */
  private List<ExchangeEffect> end(String reason, long retryAfterMs) {
    done = true;
    return List.of(
        mayHaveRun
            ? new ExchangeEffect.GiveUp(false, reason)
            : new ExchangeEffect.Refuse(retryAfterMs, reason));
  }
}
