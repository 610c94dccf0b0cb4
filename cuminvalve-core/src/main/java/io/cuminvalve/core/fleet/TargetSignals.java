package io.cuminvalve.core.fleet;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The control information that a target sends in the header fields of an answer.
 *
 * @param attemptId the attempt that is answered; empty if not given
 * @param notExecuted whether the target confirms that the request was not and will not be executed
 * @param answeringTarget the name of the answering target; empty if not given
 * @param limitPerS the requests per second that it accepts from all gateways together; empty if it
 *     declares no limit
 * @param leaving whether it is about to terminate
 * @param backoffMs how long this gateway should send it no requests; milliseconds, above 0; empty
 *     if not requested
 * @param occupancy how busy it is; empty if not stated
 * @param unreadable the signals whose header fields could not be parsed; not null
 * @param unknownFields the names of header fields that are not recognised; not null
 * @since 0.2
 */
public record TargetSignals(
    Optional<String> attemptId,
    boolean notExecuted,
    Optional<String> answeringTarget,
    OptionalDouble limitPerS,
    boolean leaving,
    OptionalLong backoffMs,
    Optional<TargetOccupancy> occupancy,
    Set<Kind> unreadable,
    List<String> unknownFields) {

  /** Copies the collections. */
  public TargetSignals {
    unreadable = Set.copyOf(unreadable);
    unknownFields = List.copyOf(unknownFields);
  }

  /** The signals by which a target can influence the requests that it receives. */
  public enum Kind {
    /** A limit of requests per second. */
    LIMIT,
    /** No further requests, because the target is terminating. */
    LEAVING,
    /** No requests for a time. */
    REST,
    /** How busy the target is. */
    OCCUPANCY
  }

  /**
   * Returns whether a target other than the addressed one has answered.
   *
   * @param asked the name of the addressed target; not null
   * @return false if the answer does not name the answering target
   */
  public boolean isFromOtherThan(String asked) {
    return answeringTarget.isPresent() && !answeringTarget.get().equals(asked);
  }
}
