package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.authority.AuthorityTimings;
import io.cuminvalve.core.authority.TableCodec;
import io.cuminvalve.core.id.CellId;

/**
 * What the parts of one holder have in common.
 *
 * @param cell the cell; not null
 * @param term the term that it holds
 * @param timings the durations; not null
 * @param rules the safety rules; not null
 * @param outbox takes the effects; not null
 * @param codec encodes the records of the store; not null
 * @since 0.1
 */
public record HolderContext(
    CellId cell,
    long term,
    AuthorityTimings timings,
    SafetyRules rules,
    Outbox outbox,
    TableCodec codec) {

  /**
   * Returns the allowance for clock rates.
   *
   * @return milliseconds
   */
  public long marginMs() {
    return rules.margin() ? timings.marginMs() : 0;
  }
}
