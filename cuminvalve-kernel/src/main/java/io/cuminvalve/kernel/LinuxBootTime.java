package io.cuminvalve.kernel;

import com.sun.jna.FunctionMapper;
import com.sun.jna.Library;
import com.sun.jna.Native;
import com.sun.jna.NativeLibrary;
import com.sun.jna.Platform;
import java.util.Map;

/**
 * Reads {@code CLOCK_BOOTTIME} of a 64-bit Linux host, which the Java library does not offer.
 *
 * <p>Loads native code when a reading is first taken. Thread-safe.
 */
final class LinuxBootTime {

  /** Number of the clock in {@code clock_gettime}, the same on all architectures. */
  private static final int CLOCK_BOOTTIME = 7;

  private static final int BYTES_OF_LONG = 8;
  private static final long MS_PER_SECOND = 1_000;
  private static final long NANOS_PER_MS = 1_000_000;

  private static final String LIBRARY_PATH_PROPERTY = "jna.platform.library.path";

  static {
    bind();
  }

  private LinuxBootTime() {}

  private static void bind() {
    if (!Platform.isLinux() || Native.LONG_SIZE != BYTES_OF_LONG) {
      throw new CodedException(ErrorCode.INTERNAL, "not a 64-bit Linux system");
    }
    // Otherwise JNA starts ldconfig to find libraries. The C library is already loaded.
    if (System.getProperty(LIBRARY_PATH_PROPERTY) == null) {
      System.setProperty(LIBRARY_PATH_PROPERTY, "");
    }
    FunctionMapper mapper = (library, method) -> "clock_gettime";
    Map<String, ?> options = Map.of(Library.OPTION_FUNCTION_MAPPER, mapper);
    Native.register(LinuxBootTime.class, NativeLibrary.getProcess(options));
  }

  /**
   * Returns the time since the host booted, including the time for which it was suspended.
   *
   * @return milliseconds
   * @throws CodedException with code {@link ErrorCode#INTERNAL} if the system refuses the call
   */
  static long readMs() {
    long[] timespec = new long[2];
    if (clockGettime(CLOCK_BOOTTIME, timespec) != 0) {
      throw new CodedException(
          ErrorCode.INTERNAL,
          "clock_gettime(CLOCK_BOOTTIME) failed with errno " + Native.getLastError());
    }
    return timespec[0] * MS_PER_SECOND + timespec[1] / NANOS_PER_MS;
  }

  /**
   * Calls {@code clock_gettime}.
   *
   * @param timespec receives seconds and nanoseconds; a {@code struct timespec} on 64-bit systems
   * @return 0 on success
   */
  private static native int clockGettime(int clockId, long[] timespec);
}
