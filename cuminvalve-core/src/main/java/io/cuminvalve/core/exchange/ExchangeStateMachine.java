package io.cuminvalve.core.exchange;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Decides what happens to one request until it has its one final answer.
 *
 * <p>A request that is not idempotent goes to another target only after a proof that it did not
 * run. One that waits for a slot is refused early, while the caller can still go elsewhere. Once
 * its time is over the final answer goes out at once. Events after the final answer have no effect
 * but that slots are given back. Not safe for use by several threads.
 *
 * @since 0.2
 */
public final class ExchangeStateMachine {

  /** How long a request may wait for a slot, as a part of the time within which it is due. */
  private static final double WAIT_SHARE = 0.25;

  /** Taken off that time: the way to the caller and back, and timers that fire late. */
  private static final long WAIT_RESERVE_MS = 30;

  /** When a caller whose request did not run should come back: a move of keys is over by then. */
  private static final long RETRY_AFTER_MS = 250;

  /** The same if the target that it needs has too much to do: that lasts longer than a move. */
  private static final long BUSY_RETRY_AFTER_MS = 500;

  /** Pause before a request is offered again to the same owner. */
  private static final long SAME_OWNER_PAUSE_MS = 40;

  /** Proofs that a request did not run after which it is refused. */
  private static final int MAX_REFUSALS = 4;

  /** Answers from here on say that the target failed. */
  private static final int FIRST_ERROR_STATUS = 500;

  /** Says in the log why a request was not sent on. */
  private static final String QUARANTINED = "quarantined";

  private static final String LIMITED = "target_limited";

  private static final String RESTING = "target_resting";

  private static final String STUCK_KEY = "key_stuck";

  private final ExchangeProfile profile;
  private final BooleanSupplier budget;
  private boolean done;
  private boolean sending;
  private boolean mayHaveRun;
  private int runs;
  private int refusals;

  /**
   * Creates the machine of one request.
   *
   * @param profile what matters of it; not null
   * @param budget takes one repeat from the shared budget, or says that there is none; not null
   */
  public ExchangeStateMachine(ExchangeProfile profile, BooleanSupplier budget) {
    this.profile = profile;
    this.budget = budget;
  }

  /**
   * Begins.
   *
   * @param turnedAway whether the owner of its key cannot bear all requests for it, and this one is
   *     among those that are refused
   * @param nowMs the time; milliseconds
   * @return what to do; never null
   */
  public List<ExchangeEffect> onStart(boolean turnedAway, long nowMs) {
    if (done) {
      return List.of();
    }
    return turnedAway ? end("overload_busy") : List.of(seek(nowMs));
  }

  /**
   * There is a slot.
   *
   * @return what to do; never null
   */
  public List<ExchangeEffect> onSlot() {
    if (done) {
      return List.of(new ExchangeEffect.ReturnSlot());
    }
    sending = true;
    return List.of(new ExchangeEffect.Send());
  }

  /**
   * There was no slot in time.
   *
   * @param reason why, for the log; not null
   * @return what to do; never null
   */
  public List<ExchangeEffect> onNoSlot(String reason) {
    return done ? List.of() : end(reason);
  }

  /**
   * Targets have ended under requests like this one: it goes to none any more.
   *
   * @param retryAfterMs when that is looked at again; milliseconds
   * @return what to do; never null
   */
  public List<ExchangeEffect> onQuarantined(long retryAfterMs) {
    return done ? List.of() : end(QUARANTINED, retryAfterMs);
  }

  /**
   * Targets that may run it have named limits, and take no more for now.
   *
   * @param retryAfterMs when they do; milliseconds
   * @return what to do; never null
   */
  public List<ExchangeEffect> onLimited(long retryAfterMs) {
    return done ? List.of() : end(LIMITED, retryAfterMs);
  }

  /**
   * Targets that may run it have asked for rest.
   *
   * @param retryAfterMs when the first rest is over; milliseconds
   * @return what to do; never null
   */
  public List<ExchangeEffect> onResting(long retryAfterMs) {
    return done ? List.of() : end(RESTING, retryAfterMs);
  }

  /**
   * The owner of its key cannot run it, and the key cannot move for now.
   *
   * @param retryAfterMs when that is worth another look; milliseconds
   * @return what to do; never null
   */
  public List<ExchangeEffect> onStuckKey(long retryAfterMs) {
    return done ? List.of() : end(STUCK_KEY, retryAfterMs);
  }

  /**
   * The target answered, whole: the request ran.
   *
   * @param status the HTTP status
   * @param nowMs the time; milliseconds
   * @return what to do; never null
   */
  public List<ExchangeEffect> onAnswer(int status, long nowMs) {
    if (done) {
      return List.of();
    }
    sending = false;
    mayHaveRun = true;
    runs++;
    boolean failed = status >= FIRST_ERROR_STATUS;
    if (failed && !profile.keyed() && mayRunAgain(nowMs)) {
      return List.of(new ExchangeEffect.AvoidTarget(), seek(nowMs));
    }
    done = true;
    return List.of(new ExchangeEffect.Relay(failed));
  }

  /**
   * The target proved that it did not run the request and never will.
   *
   * @param nowMs the time; milliseconds
   * @return what to do; never null
   */
  public List<ExchangeEffect> onNotExecuted(long nowMs) {
    if (done) {
      return List.of();
    }
    sending = false;
    refusals++;
    // A target that refuses has got the request: the budget counts that too.
    boolean repeats = refusals < MAX_REFUSALS && hasTime(nowMs) && budget.getAsBoolean();
    return repeats ? repeat(nowMs) : end("refused_by_target");
  }

  /**
   * An attempt ended without a usable answer.
   *
   * @param mayHaveRunThere whether a byte of it may have reached the target
   * @param reason why, for the log; not null
   * @param nowMs the time; milliseconds
   * @return what to do; never null
   */
  public List<ExchangeEffect> onFailure(boolean mayHaveRunThere, String reason, long nowMs) {
    if (done) {
      return List.of();
    }
    sending = false;
    boolean repeats;
    if (mayHaveRunThere) {
      mayHaveRun = true;
      runs++;
      repeats = mayRunAgain(nowMs);
    } else {
      refusals++;
      repeats = refusals < MAX_REFUSALS && hasTime(nowMs);
    }
    return repeats ? repeat(nowMs) : end(reason);
  }

  /**
   * The caller's time or the route's timeout is over.
   *
   * @param handedOver whether a byte of the attempt under way may have reached the target
   * @return what to do; never null
   */
  public List<ExchangeEffect> onDeadline(boolean handedOver) {
    if (done) {
      return List.of();
    }
    mayHaveRun |= sending && handedOver;
    List<ExchangeEffect> effects = new ArrayList<>();
    effects.add(new ExchangeEffect.CancelSlotRequest());
    effects.add(
        mayHaveRun
            ? new ExchangeEffect.GiveUp(true, "timeout")
            : new ExchangeEffect.Refuse(RETRY_AFTER_MS, "timeout_unsent"));
    if (sending) {
      effects.add(new ExchangeEffect.Abandon(true));
    }
    done = true;
    return effects;
  }

  /**
   * The caller closed its connection.
   *
   * @return what to do; never null
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
   * Tells whether the final answer has been decided.
   *
   * @return true if nothing more may be sent
   */
  public boolean isDone() {
    return done;
  }

  /**
   * Returns on how many targets the request ran, or may have.
   *
   * @return at least 0
   */
  public int runs() {
    return runs;
  }

  /**
   * Returns how many attempts provably did not run.
   *
   * @return at least 0
   */
  public int refusals() {
    return refusals;
  }

  private ExchangeEffect seek(long nowMs) {
    long limitMs =
        profile.arrivedMs() + (long) (profile.latencyObjectiveMs() * WAIT_SHARE) - WAIT_RESERVE_MS;
    return new ExchangeEffect.AcquireSlot(Math.max(SAME_OWNER_PAUSE_MS, limitMs - nowMs));
  }

  private List<ExchangeEffect> repeat(long nowMs) {
    // Only the owner of a key may run it: either somebody else is by now, or the pause helps.
    ExchangeEffect elsewhere =
        profile.keyed()
            ? new ExchangeEffect.AwaitNewerOwners(SAME_OWNER_PAUSE_MS)
            : new ExchangeEffect.AvoidTarget();
    return List.of(elsewhere, seek(nowMs));
  }

  private boolean mayRunAgain(long nowMs) {
    return profile.idempotent()
        && runs < profile.maxAttempts()
        && hasTime(nowMs)
        && budget.getAsBoolean();
  }

  private boolean hasTime(long nowMs) {
    return profile.deadlineMs() - nowMs > SAME_OWNER_PAUSE_MS;
  }

  private List<ExchangeEffect> end(String reason) {
    return end(reason, reason.endsWith("_busy") ? BUSY_RETRY_AFTER_MS : RETRY_AFTER_MS);
  }

  /** Ends a request that no target is working on. */
  private List<ExchangeEffect> end(String reason, long retryAfterMs) {
    done = true;
    return List.of(
        mayHaveRun
            ? new ExchangeEffect.GiveUp(false, reason)
            : new ExchangeEffect.Refuse(retryAfterMs, reason));
  }
}
