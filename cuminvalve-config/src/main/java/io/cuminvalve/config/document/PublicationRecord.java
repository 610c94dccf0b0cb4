package io.cuminvalve.config.document;

import io.cuminvalve.core.id.PublicationId;

/**
 * One earlier publication, kept in the published document itself.
 *
 * <p>Because it is written by the same compare-and-swap as the configuration, a publication whose
 * reply was lost can still be recognised after others have followed it.
 *
 * @param publication the attempt; not null
 * @param publishedBy who published it; not null
 * @param reason why; not null, may be empty
 * @param publishedAtEpochMs when, by the clock of the operator's host; milliseconds since 1970
 * @param baseRevision the revision that it replaced; 0 for the first
 * @param summary what changed, in one line; not null
 * @since 0.1
 */
public record PublicationRecord(
    PublicationId publication,
    String publishedBy,
    String reason,
    long publishedAtEpochMs,
    long baseRevision,
    String summary) {}
