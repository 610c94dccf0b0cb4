package io.cuminvalve.cli.publish;

import io.cuminvalve.core.id.PublicationId;

/**
 * The end of an attempt to publish.
 *
 * @param outcome what is known; not null
 * @param publication the attempt; not null
 * @param current the newest published configuration that was read or written; after UNRESOLVED the
 *     one that the attempt started from; not null
 * @since 0.1
 */
public record PublishResult(Outcome outcome, PublicationId publication, Baseline current) {

  /** What is known at the end of an attempt. */
  public enum Outcome {
    /** It took effect and is the newest. */
    PUBLISHED,
    /** It took effect, and another publication has followed it since. */
    PUBLISHED_AND_FOLLOWED,
    /** Another publication came first; this one had no effect and never will. */
    CONFLICT,
    /** The store was not reached at all; this one had no effect and never will. */
    NOT_SENT,
    /** It may have taken effect, or may still do so: the store does not answer. */
    UNRESOLVED
  }
}
