package io.cuminvalve.cli.publish;

import io.cuminvalve.core.inventory.Inventory;
import io.cuminvalve.core.rule.RequestRule;
import java.util.List;

/**
 * What an operator wants to publish.
 *
 * @param inventory the checked inventory; not null
 * @param rules the checked rules; not null, copied
 * @param publishedBy the operator; not null
 * @param reason why; not null, may be empty
 * @since 0.1
 */
public record Proposal(
    Inventory inventory, List<RequestRule> rules, String publishedBy, String reason) {

  /** Copies the rules. */
  public Proposal {
    rules = List.copyOf(rules);
  }
}
