package io.cuminvalve.config.document;

import io.cuminvalve.core.id.PublicationId;
import io.cuminvalve.core.rule.Configuration;
import java.util.List;
import java.util.stream.Stream;

/**
 * A configuration together with the publications that led to it.
 *
 * @param configuration the configuration; not null
 * @param history publications, newest first, beginning with the one that wrote the configuration;
 *     not null, copied, at most {@link #MAX_HISTORY}
 * @since 0.1
 */
public record PublishedDocument(Configuration configuration, List<PublicationRecord> history) {

  /** How many publications a document remembers. */
  public static final int MAX_HISTORY = 64;

  /** Copies the history. */
  public PublishedDocument {
    history = List.copyOf(history);
  }

  /**
   * Tells whether a publication is this document's own or one of those before it.
   *
   * @param publication the attempt; not null
   * @return true if it took effect
   */
  public boolean contains(PublicationId publication) {
    return configuration.publication().equals(publication)
        || history.stream().anyMatch(entry -> entry.publication().equals(publication));
  }

  /**
   * Returns the history of a document that follows this one.
   *
   * @param next the record of the next publication; not null
   * @return newest first, cut to {@link #MAX_HISTORY}
   */
  public List<PublicationRecord> historyWith(PublicationRecord next) {
    return Stream.concat(Stream.of(next), history.stream()).limit(MAX_HISTORY).toList();
  }
}
