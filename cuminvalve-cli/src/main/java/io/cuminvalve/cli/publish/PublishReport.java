package io.cuminvalve.cli.publish;

import io.cuminvalve.config.document.ConfigurationChange;
import io.cuminvalve.core.id.PublicationId;
import java.util.List;

/**
 * What the command publish did.
 *
 * @param outcome the outcome of the attempt; null if nothing was to be written
 * @param publication the attempt; null if nothing was to be written
 * @param revision the newest revision that is known
 * @param changes the difference; not null, copied
 * @param effects what it does to assignments; not null, copied
 * @param inForce who confirmed it; null if the command did not wait
 * @since 0.1
 */
public record PublishReport(
    PublishResult.Outcome outcome,
    PublicationId publication,
    long revision,
    List<ConfigurationChange> changes,
    List<PlacementEffect> effects,
    InForceWait.Result inForce) {

  /** Copies the lists. */
  public PublishReport {
    changes = List.copyOf(changes);
    effects = List.copyOf(effects);
  }
}
