package io.cuminvalve.load.report;

/**
 * Where the answers of routers and the ledger of targets disagree. All counts should be 0.
 *
 * @param falseNotRun operations that callers were told had not run, though they had
 * @param falseRan operations that callers were told had run, though they had not
 * @param duplicates operations that must not be repeated and ran more than once
 * @param wrongAnswers answers that belong to another operation or looked whole but were not
 * @since 0.1
 */
public record AuditResult(long falseNotRun, long falseRan, long duplicates, long wrongAnswers) {

  /**
   * Returns the sum.
   *
   * @return 0 if every answer was true
   */
  public long total() {
    return falseNotRun + falseRan + duplicates + wrongAnswers;
  }
}
