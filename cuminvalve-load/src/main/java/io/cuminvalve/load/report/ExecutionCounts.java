package io.cuminvalve.load.report;

/**
 * Tells what the targets themselves counted.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface ExecutionCounts {

  /**
   * Returns how often an operation began at any target.
   *
   * @param operationId the operation; not null
   * @return at least 0
   */
  int executionsOf(String operationId);
}
