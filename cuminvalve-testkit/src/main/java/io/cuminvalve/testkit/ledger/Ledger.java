package io.cuminvalve.testkit.ledger;

/**
 * Receives what targets do, in the order in which they do it.
 *
 * @since 0.1
 */
public interface Ledger {

  /**
   * Records a grant that came into force.
   *
   * @param grant the grant; not null
   */
  void granted(GrantRecord grant);

  /**
   * Records the start of an execution, before any effect of it.
   *
   * @param execution the execution; not null
   */
  void executed(ExecutionRecord execution);
}
