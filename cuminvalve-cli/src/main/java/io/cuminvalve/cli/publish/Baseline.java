package io.cuminvalve.cli.publish;

import io.cuminvalve.config.document.ConfigurationDifference;
import io.cuminvalve.config.document.PublishedDocument;
import java.util.Optional;

/**
 * The published configuration that a proposal was compared with.
 *
 * @param revision its revision; 0 if nothing was published yet
 * @param document the document; empty if nothing was published yet; not null
 * @since 0.1
 */
public record Baseline(long revision, Optional<PublishedDocument> document) {

  /** Nothing is published. */
  public static final Baseline NOTHING = new Baseline(0, Optional.empty());

  /**
   * Compares a proposal with this baseline.
   *
   * @param proposal the proposal; not null
   * @return what publishing it would change
   */
  public ConfigurationDifference differenceTo(Proposal proposal) {
    return document
        .map(
            older ->
                ConfigurationDifference.between(
                    older.configuration().inventory(),
                    older.configuration().rules(),
                    proposal.inventory(),
                    proposal.rules()))
        .orElseGet(() -> ConfigurationDifference.first(proposal.inventory(), proposal.rules()));
  }
}
