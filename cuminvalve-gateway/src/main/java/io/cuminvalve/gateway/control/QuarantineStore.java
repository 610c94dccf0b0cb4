package io.cuminvalve.gateway.control;

import io.cuminvalve.core.protocol.CrashUpdate;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.ports.store.KeyValueStore;
import io.cuminvalve.ports.store.ReadResult;
import io.cuminvalve.ports.store.StoreOutcome;
import io.cuminvalve.ports.store.StoreValue;
import io.cuminvalve.ports.store.WriteResult;
import io.cuminvalve.wire.RecordCodec;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Persists the quarantined requests, so that they survive the loss of the whole fleet.
 *
 * <p>The holder reads them once when it acquires the term and writes them after each change. The
 * stored ages are relative to the time of writing, so a quarantine that is read back lasts longer
 * by the time since then. Confined to the control thread.
 */
final class QuarantineStore {

  static final String KEY = "cuminvalve/crashes";

  private static final long RETRY_MS = 1_000;

  private final KeyValueStore store;
  private final ControlThread control;
  private final DecisionLog log;
  private final RecordCodec codec;
  private final Consumer<CrashUpdate> onRead;
  private Optional<CrashUpdate> unwritten = Optional.empty();
  private long revision;
  private boolean open;
  private boolean busy;

  QuarantineStore(
      KeyValueStore store,
      ControlThread control,
      DecisionLog log,
      RecordCodec codec,
      Consumer<CrashUpdate> onRead) {
    this.store = store;
    this.control = control;
    this.log = log;
    this.codec = codec;
    this.onRead = onRead;
  }

  /** Reads the stored quarantine, after this process acquired the term. */
  void open() {
    open = true;
    if (!busy) {
      read();
    }
  }

  /** Stops writing, because this process no longer holds the term. */
  void close() {
    open = false;
    unwritten = Optional.empty();
  }

  /** Replaces the stored quarantine as soon as the store is available. */
  void persist(CrashUpdate quarantined) {
    if (open) {
      unwritten = Optional.of(quarantined);
      writeNext();
    }
  }

  private void read() {
    busy = true;
    store.read(KEY).thenAcceptAsync(this::onReadResult, control);
  }

  private void onReadResult(ReadResult result) {
    busy = false;
    if (!open) {
      return;
    }
    if (!result.isDone()) {
      retry(this::read);
      return;
    }
    revision = result.value().map(StoreValue::revision).orElse(KeyValueStore.ABSENT);
    result.value().ifPresent(this::decode);
    writeNext();
  }

  private void decode(StoreValue value) {
    try {
      PeerMessage stored = codec.decodeMessage(value.value());
      if (stored instanceof CrashUpdate update) {
        onRead.accept(update);
      }
    } catch (CodedException unreadable) {
      log.write("crashes_unreadable", "revision={} why=\"{}\"", value.revision(), unreadable);
    }
  }

  private void writeNext() {
    if (!open || busy || unwritten.isEmpty()) {
      return;
    }
    CrashUpdate next = unwritten.get();
    busy = true;
    store
        .write(KEY, codec.encodeMessage(next), revision, Optional.empty())
        .thenAcceptAsync(result -> onWritten(result, next), control);
  }

  private void onWritten(WriteResult result, CrashUpdate written) {
    busy = false;
    if (!open) {
      return;
    }
    if (result.outcome() == StoreOutcome.DONE) {
      revision = result.revision();
      unwritten = unwritten.filter(next -> !next.equals(written));
      writeNext();
    } else if (result.outcome() == StoreOutcome.UNAVAILABLE) {
      retry(this::writeNext);
    } else {
      // Another holder wrote, or an earlier write succeeded unnoticed; merge the stored value.
      read();
    }
  }

  private void retry(Runnable task) {
    busy = true;
    control.schedule(
        () -> {
          busy = false;
          if (open) {
            task.run();
          }
        },
        RETRY_MS);
  }
}
