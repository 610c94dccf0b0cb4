package io.cuminvalve.kernel;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The time since the host booted, including the time for which it was suspended.
 *
 * <p>Unlike the wall clock it cannot be set, so it also shows a suspension during which the wall
 * clock was set back. Not every host provides it. A clock that has failed once is not read again.
 * Thread-safe.
 *
 * @since 0.2
 */
public final class BootClock {

  private final LongSupplier sourceMs;
  private final Consumer<String> onFailed;
  private volatile Optional<String> failure;

  /**
   * Creates a clock.
   *
   * @param sourceMs returns the time since boot in milliseconds; may throw unchecked exceptions;
   *     not null
   * @param onFailed called with the reason when the clock cannot be used any longer, at most once
   *     and on the thread that finds out; must not block; not null
   */
  public BootClock(LongSupplier sourceMs, Consumer<String> onFailed) {
    this(sourceMs, onFailed, Optional.empty());
  }

  private BootClock(LongSupplier sourceMs, Consumer<String> onFailed, Optional<String> failure) {
    this.sourceMs = sourceMs;
    this.onFailed = onFailed;
    this.failure = failure;
  }

  /**
   * Creates a clock that reads the clock of the system, or one that is not available if a first
   * reading fails.
   *
   * @param onFailed called if the clock fails after the first reading, as for the constructor; not
   *     null
   * @return never null
   */
  public static BootClock system(Consumer<String> onFailed) {
    try {
      LinuxBootTime.readMs();
    } catch (VirtualMachineError fatal) {
      throw fatal;
    } catch (RuntimeException | Error unusable) {
      // Missing or incompatible native code is reported by errors of several types.
      return unavailable(describe(unusable));
    }
    return new BootClock(LinuxBootTime::readMs, onFailed);
  }

  /**
   * Creates a clock that is never read.
   *
   * @param reason why the time since boot is not available; not null
   * @return never null
   */
  public static BootClock unavailable(String reason) {
    return new BootClock(() -> 0, ignored -> {}, Optional.of(reason));
  }

  /**
   * Returns the time since boot.
   *
   * @return milliseconds; empty if the clock is not available
   */
  public OptionalLong readMs() {
    if (failure.isPresent()) {
      return OptionalLong.empty();
    }
    try {
      return OptionalLong.of(sourceMs.getAsLong());
    } catch (RuntimeException unreadable) {
      fail(describe(unreadable));
      return OptionalLong.empty();
    }
  }

  /**
   * Ends the use of this clock, because its readings are wrong.
   *
   * @param reason what is wrong; not null
   */
  synchronized void fail(String reason) {
    if (failure.isEmpty()) {
      failure = Optional.of(reason);
      onFailed.accept(reason);
    }
  }

  /**
   * Returns why the clock is not available.
   *
   * @return empty if it is available
   */
  public Optional<String> failure() {
    return failure;
  }

  /** Returns a description in one line, as logs need it. */
  private static String describe(Throwable failure) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    return cause.toString().replaceAll("\\s+", " ");
  }
}
