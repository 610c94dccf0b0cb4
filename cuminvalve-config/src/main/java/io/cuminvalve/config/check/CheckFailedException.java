package io.cuminvalve.config.check;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;

/**
 * Says that input was refused; carries every finding.
 *
 * @since 0.1
 */
public class CheckFailedException extends CodedException {

  private static final long serialVersionUID = 1L;

  private final transient CheckReport report;

  /**
   * Creates an exception with code INVALID_INPUT.
   *
   * @param report what was found; not null, not clean
   */
  public CheckFailedException(CheckReport report) {
    super(
        ErrorCode.INVALID_INPUT,
        report.findings().size() + " finding(s)" + System.lineSeparator() + report.toText());
    this.report = report;
  }

  /**
   * Returns what was found.
   *
   * @return never null, never clean
   */
  public CheckReport report() {
    return report;
  }
}
