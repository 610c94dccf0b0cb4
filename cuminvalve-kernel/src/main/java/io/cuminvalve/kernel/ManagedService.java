package io.cuminvalve.kernel;

/**
 * A service whose lifecycle is managed by {@link MicroKernel}.
 *
 * <p>Each method is called at most once, in the order start, drain, stop, on a thread of the
 * kernel. A method that exceeds its timeout is interrupted.
 *
 * @since 0.1
 */
public interface ManagedService {

  /** Starts the service. All its dependencies have started before. */
  default void start() {}

  /** Stops accepting work and returns once the work in progress has ended. */
  default void drain() {}

  /** Stops the service and releases its resources. All its dependents have stopped before. */
  default void stop() {}
}
