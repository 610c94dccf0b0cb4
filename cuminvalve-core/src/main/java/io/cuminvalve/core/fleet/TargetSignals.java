package io.cuminvalve.core.fleet;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Everything that a target says in the head of an answer, apart from the answer itself.
 *
 * @param attemptId the attempt that it answers; empty if it does not say
 * @param notExecuted whether it proves that the request did not run and never will
 * @param answeringTarget the name of the target that answers; empty if it does not say
 * @param limitPerS the requests a second that it takes from all gateways together; empty if it
 *     names no limit
 * @param leaving whether it is about to end
 * @param backoffMs for how long it wants no request from this gateway; milliseconds, above 0; empty
 *     if it asks for no rest
 * @param unreadable which of these it says in a way that cannot be read; not null
 * @param unknownFields names of header fields that nobody reads; not null
 * @since 0.2
 */
public record TargetSignals(
    Optional<String> attemptId,
    boolean notExecuted,
    Optional<String> answeringTarget,
    OptionalDouble limitPerS,
    boolean leaving,
    OptionalLong backoffMs,
    Set<Kind> unreadable,
    List<String> unknownFields) {

  /** Copies the collections. */
  public TargetSignals {
    unreadable = Set.copyOf(unreadable);
    unknownFields = List.copyOf(unknownFields);
  }

  /** What a target may ask for. */
  public enum Kind {
    /** A limit of requests a second. */
    LIMIT,
    /** To be left alone for good, since it ends. */
    LEAVING,
    /** To be left alone for a while. */
    REST
  }

  /**
   * Tells whether another target answered than the one that was asked.
   *
   * @param asked the name of the target that was asked; not null
   * @return false if the answer does not say who answers
   */
  public boolean isFromOtherThan(String asked) {
    return answeringTarget.isPresent() && !answeringTarget.get().equals(asked);
  }
}
