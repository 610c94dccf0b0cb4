package io.cuminvalve.cli.publish;

import io.cuminvalve.cli.publish.PublishResult.Outcome;
import io.cuminvalve.config.document.ConfigurationCodec;
import io.cuminvalve.config.document.PublicationRecord;
import io.cuminvalve.config.document.PublishedDocument;
import io.cuminvalve.core.id.PublicationId;
import io.cuminvalve.core.rule.Configuration;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.ports.store.KeyValueStore;
import io.cuminvalve.ports.store.ReadResult;
import io.cuminvalve.ports.store.StoreOutcome;
import io.cuminvalve.ports.store.StoreValue;
import io.cuminvalve.ports.store.WriteResult;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Publishes configurations by compare-and-swap.
 *
 * <p>A write whose reply was lost is resolved by its publication id, which the document and its
 * history carry. Such a write is repeated with the same expected revision: it can take effect once
 * at most, and a conflict together with a document that does not know the id proves that it never
 * did and never will.
 *
 * @since 0.1
 */
public final class Publisher {

  private static final int MAX_ATTEMPTS = 5;

  private final KeyValueStore store;
  private final Supplier<PublicationId> publicationIds;
  private final LongSupplier epochClockMs;

  /**
   * Creates a publisher.
   *
   * @param store the store; not null
   * @param publicationIds gives a fresh identifier for each attempt; not null
   * @param epochClockMs the wall clock, in milliseconds since 1970, for the history only; not null
   */
  public Publisher(
      KeyValueStore store, Supplier<PublicationId> publicationIds, LongSupplier epochClockMs) {
    this.store = store;
    this.publicationIds = publicationIds;
    this.epochClockMs = epochClockMs;
  }

  /**
   * Reads the published configuration.
   *
   * @return what is published now
   * @throws CodedException with code UNAVAILABLE if the store does not answer
   */
  public Baseline read() {
    return tryRead()
        .orElseThrow(
            () -> new CodedException(ErrorCode.UNAVAILABLE, "the store does not answer a read"));
  }

  /**
   * Publishes a proposal if its baseline is still the newest.
   *
   * @param proposal what to publish; not null
   * @param baseline what it was compared with; not null
   * @return what is known at the end; never null
   */
  public PublishResult publish(Proposal proposal, Baseline baseline) {
    PublicationId id = publicationIds.get();
    byte[] json = ConfigurationCodec.encode(document(proposal, baseline, id));
    boolean maybeWritten = false;
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      WriteResult write =
          store
              .write(ConfigurationCodec.STORE_KEY, json, baseline.revision(), Optional.empty())
              .join();
      if (write.outcome() == StoreOutcome.DONE) {
        return published(id, write.revision(), json);
      }
      maybeWritten |= write.outcome() == StoreOutcome.UNKNOWN;
      if (write.outcome() != StoreOutcome.UNAVAILABLE) {
        Optional<PublishResult> resolved = tryRead().flatMap(now -> resolve(id, baseline, now));
        if (resolved.isPresent()) {
          return resolved.get();
        }
      }
    }
    Outcome outcome = maybeWritten ? Outcome.UNRESOLVED : Outcome.NOT_SENT;
    return new PublishResult(outcome, id, baseline);
  }

  /**
   * Finds out what became of an earlier attempt.
   *
   * @param publication the attempt; not null
   * @return true if it took effect; false if the newest document does not know it, in which case a
   *     write on its way could still take effect as long as the revision it expected is the newest
   * @throws CodedException with code UNAVAILABLE if the store does not answer
   */
  public boolean tookEffect(PublicationId publication) {
    return read().document().map(document -> document.contains(publication)).orElse(false);
  }

  private Optional<PublishResult> resolve(PublicationId id, Baseline baseline, Baseline now) {
    if (now.document().map(document -> document.contains(id)).orElse(false)) {
      boolean newest = now.document().orElseThrow().configuration().publication().equals(id);
      Outcome outcome = newest ? Outcome.PUBLISHED : Outcome.PUBLISHED_AND_FOLLOWED;
      return Optional.of(new PublishResult(outcome, id, now));
    }
    if (now.revision() != baseline.revision()) {
      return Optional.of(new PublishResult(Outcome.CONFLICT, id, now));
    }
    return Optional.empty();
  }

  private static PublishResult published(PublicationId id, long revision, byte[] json) {
    PublishedDocument document = ConfigurationCodec.decodeDocument(revision, json);
    return new PublishResult(Outcome.PUBLISHED, id, new Baseline(revision, Optional.of(document)));
  }

  private Optional<Baseline> tryRead() {
    ReadResult read = store.read(ConfigurationCodec.STORE_KEY).join();
    if (!read.isDone()) {
      return Optional.empty();
    }
    return Optional.of(read.value().map(Publisher::baseline).orElse(Baseline.NOTHING));
  }

  private static Baseline baseline(StoreValue value) {
    PublishedDocument document = ConfigurationCodec.decodeDocument(value.revision(), value.value());
    return new Baseline(value.revision(), Optional.of(document));
  }

  private PublishedDocument document(Proposal proposal, Baseline baseline, PublicationId id) {
    PublicationRecord entry =
        new PublicationRecord(
            id,
            proposal.publishedBy(),
            proposal.reason(),
            epochClockMs.getAsLong(),
            baseline.revision(),
            baseline.differenceTo(proposal).summary());
    Configuration configuration =
        new Configuration(
            baseline.revision(),
            id,
            proposal.publishedBy(),
            proposal.reason(),
            proposal.inventory(),
            proposal.rules());
    List<PublicationRecord> history =
        baseline.document().map(older -> older.historyWith(entry)).orElse(List.of(entry));
    return new PublishedDocument(configuration, history);
  }
}
