package io.cuminvalve.kernel;

/**
 * The error codes that operators and clients can see.
 *
 * <p>A released code never changes its meaning. docs/OPERATING.md lists all codes; a test compares
 * that page with this enum.
 *
 * @since 0.1
 */
public enum ErrorCode {
  /** A value, file or argument does not have the required form. */
  INVALID_INPUT(
      2, "Input is malformed or fails a check.", "Correct the fields named in the message."),
  /** The record was changed concurrently; nothing was overwritten. */
  CONFLICT(3, "Another change was published first.", "Review the difference and publish again."),
  /** A process or the store did not respond in time. */
  UNAVAILABLE(4, "A process or the store cannot be reached.", "Check that it runs, then retry."),
  /** The operation did not finish before its deadline. */
  TIMEOUT(5, "The operation did not finish in time.", "Look at who is behind, then retry."),
  /** A frame or message violates the protocol between processes of this system. */
  PROTOCOL(6, "A peer sent something that cannot be understood.", "Check versions and shared key."),
  /** A bug in this program. */
  INTERNAL(70, "The program met a state it does not expect.", "Report it with the log lines.");

  private final int exitStatus;
  private final String meaning;
  private final String remedy;

  ErrorCode(int exitStatus, String meaning, String remedy) {
    this.exitStatus = exitStatus;
    this.meaning = meaning;
    this.remedy = remedy;
  }

  /**
   * Returns the exit status of a program that ends because of this error.
   *
   * @return a number from 1 to 125
   */
  public int exitStatus() {
    return exitStatus;
  }

  /**
   * Returns what the code means.
   *
   * @return one sentence for operators
   */
  public String meaning() {
    return meaning;
  }

  /**
   * Returns what to do next.
   *
   * @return one sentence for operators
   */
  public String remedy() {
    return remedy;
  }
}
