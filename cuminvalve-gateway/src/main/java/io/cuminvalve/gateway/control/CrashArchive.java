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
 * Keeps in the store which requests are in quarantine, so that a fleet that was lost whole knows
 * them when it starts again.
 *
 * <p>The holder reads once when it gains the term, and writes when something changes. Ages in the
 * store are those of the moment of writing: a quarantine that is read again lasts longer by the
 * time in between. For the control thread.
 */
final class CrashArchive {

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

  CrashArchive(
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

  /** This process holds the term now. */
  void open() {
    open = true;
    if (!busy) {
      read();
    }
  }

  /** This process holds the term no longer. */
  void close() {
    open = false;
    unwritten = Optional.empty();
  }

  /** Replaces what is stored, as soon as the store takes it. */
  void keep(CrashUpdate quarantined) {
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
      if (stored instanceof CrashUpdate news) {
        onRead.accept(news);
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
      // Another holder wrote, or this one without hearing of it: what is there counts too.
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
