package io.cuminvalve.core.rule;

import io.cuminvalve.core.id.PublicationId;
import io.cuminvalve.core.inventory.Inventory;
import java.util.List;

/**
 * One accepted configuration: inventory and rules, published as a whole.
 *
 * @param revision the revision, which increases with each publication; at least 1
 * @param publication the publication attempt that wrote it; not null
 * @param publishedBy the operator who published it; not null
 * @param reason the reason given by the operator; not null, may be empty
 * @param inventory the inventory; not null
 * @param rules all rules in order of precedence; not null, copied
 * @since 0.1
 */
public record Configuration(
    long revision,
    PublicationId publication,
    String publishedBy,
    String reason,
    Inventory inventory,
    List<RequestRule> rules) {

  /** Copies the rules. */
  public Configuration {
    rules = List.copyOf(rules);
  }
}
