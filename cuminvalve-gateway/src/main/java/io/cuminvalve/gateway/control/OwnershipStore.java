package io.cuminvalve.gateway.control;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.OwnershipRecord;
import io.cuminvalve.core.lease.OwnershipTable;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.ports.store.KeyValueStore;
import io.cuminvalve.ports.store.ReadResult;
import io.cuminvalve.ports.store.StoreOutcome;
import io.cuminvalve.ports.store.StoreValue;
import io.cuminvalve.ports.store.WriteResult;
import io.cuminvalve.wire.RecordCodec;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Reads and writes the ownership tables of all services in the store, for one term.
 *
 * <p>Each write is a compare-and-set on the revision that was read or written last. A holder that
 * was replaced can therefore not write any more once its successor has written. After a write
 * without an answer the record is read back before the next write. All methods run on the control
 * thread.
 *
 * @since 0.2
 */
final class OwnershipStore {

  /** Store key of the ownership record. */
  static final String KEY = "cuminvalve/owners";

  private static final long RETRY_MS = 200;

  private final KeyValueStore store;
  private final ControlThread control;
  private final DecisionLog log;
  private final long term;
  private final RecordCodec codec;
  private long revision = KeyValueStore.ABSENT;
  private boolean writing;
  private boolean hasWritten;
  private boolean closed;

  OwnershipStore(
      KeyValueStore store, ControlThread control, DecisionLog log, RecordCodec codec, long term) {
    this.store = store;
    this.control = control;
    this.log = log;
    this.codec = codec;
    this.term = term;
  }

  void close() {
    closed = true;
  }

  /** Returns whether the store was restored from an older copy after this record was written. */
  boolean isFromEpochBefore(OwnershipRecord record) {
    return record.storeEpoch() < store.epoch();
  }

  boolean isWriting() {
    return writing;
  }

  /** Reads the record, with retries until the store answers, and passes it to the callback. */
  void read(Consumer<Optional<OwnershipRecord>> onRead) {
    if (!closed) {
      store.read(KEY).thenAcceptAsync(result -> onReadResult(result, onRead), control);
    }
  }

  private void onReadResult(ReadResult result, Consumer<Optional<OwnershipRecord>> onRead) {
    if (closed) {
      return;
    }
    if (!result.isDone()) {
      control.schedule(() -> read(onRead), RETRY_MS);
      return;
    }
    revision = result.value().map(StoreValue::revision).orElse(KeyValueStore.ABSENT);
    onRead.accept(result.value().flatMap(this::decode));
  }

  private Optional<OwnershipRecord> decode(StoreValue value) {
    try {
      return Optional.of(codec.decode(value.value(), OwnershipRecord.class));
    } catch (CodedException unreadable) {
      log.write("owners_unreadable", "revision={} why=\"{}\"", value.revision(), unreadable);
      return Optional.empty();
    }
  }

  /**
   * Writes the tables. Only one write may be in progress at a time.
   *
   * @param addressOf returns the address of a target named in the tables
   * @param onDone called once the tables are durable
   * @param onConflict called with the stored record if another process wrote it
   */
  void write(
      List<OwnershipTable> tables,
      Function<TargetId, Optional<String>> addressOf,
      Runnable onDone,
      Consumer<Optional<OwnershipRecord>> onConflict) {
    writing = true;
    byte[] bytes = codec.encode(OwnershipRecord.of(term, tables, addressOf, store.epoch()));
    store
        .write(KEY, bytes, revision, Optional.empty())
        .thenAcceptAsync(result -> onWritten(result, onDone, onConflict), control);
  }

  private void onWritten(
      WriteResult result, Runnable onDone, Consumer<Optional<OwnershipRecord>> onConflict) {
    if (closed) {
      return;
    }
    if (result.outcome() == StoreOutcome.DONE) {
      revision = result.revision();
      hasWritten = true;
      writing = false;
      onDone.run();
    } else if (result.outcome() == StoreOutcome.UNAVAILABLE) {
      control.schedule(() -> writing = false, RETRY_MS);
    } else {
      log.write("owners_write_unclear", "outcome={}", result.outcome());
      read(found -> onReadBack(found, onConflict));
    }
  }

  /**
   * Resolves a write that was rejected or not answered.
   *
   * <p>A record of a later term ends all writing: the revision just read must not be used to
   * replace that record. A record of an earlier term is reported only before the first write of
   * this term; after that, the holder has the newer state and writes again.
   */
  private void onReadBack(
      Optional<OwnershipRecord> found, Consumer<Optional<OwnershipRecord>> onConflict) {
    long writer = found.map(OwnershipRecord::term).orElse(0L);
    if (writer > term) {
      close();
      onConflict.accept(found);
      return;
    }
    writing = false;
    hasWritten |= writer == term;
    if (!hasWritten) {
      onConflict.accept(found);
    }
  }
}
