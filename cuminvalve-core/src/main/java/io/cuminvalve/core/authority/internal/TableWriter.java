package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.authority.StoreKeys;
import io.cuminvalve.core.authority.StoreOutcome;
import io.cuminvalve.core.authority.StoreReply;
import io.cuminvalve.core.authority.StoredTable;
import java.util.Arrays;
import java.util.function.LongConsumer;

/**
 * Writes the table key, one write at a time, until its outcome is known.
 *
 * <p>A write without a known outcome is resolved by reading back. If the value is unchanged the
 * very same write is repeated: should the first one take effect late, the repetition meets a
 * conflict and the next reading shows our own value.
 *
 * @since 0.1
 */
public final class TableWriter {

  private final HolderContext context;
  private final Runnable onDeposed;
  private long revision;
  private StoredTable pending;
  private byte[] pendingBytes;
  private LongConsumer onWritten;
  private long startedAtMs;
  private long retryAtMs;
  private boolean inFlight;
  private boolean unknown;

  /**
   * Creates a writer.
   *
   * @param context the holder; not null
   * @param onDeposed called when the store shows a newer term; not null
   */
  public TableWriter(HolderContext context, Runnable onDeposed) {
    this.context = context;
    this.onDeposed = onDeposed;
  }

  /**
   * Sets the revision that the key was read at.
   *
   * @param readRevision the revision; 0 if the key does not exist
   */
  public void setRevision(long readRevision) {
    revision = readRevision;
  }

  /**
   * Tells whether no write is pending.
   *
   * @return true if a write may be started
   */
  public boolean isIdle() {
    return pending == null;
  }

  /**
   * Tells whether a write is pending whose outcome is unknown.
   *
   * @return true until it is resolved
   */
  public boolean isUnknown() {
    return pending != null && unknown;
  }

  /**
   * Returns for how long a write has been pending.
   *
   * @param nowMs the current time
   * @return 0 if none is
   */
  public long pendingMs(long nowMs) {
    return pending == null ? 0 : nowMs - startedAtMs;
  }

  /**
   * Starts a write; the writer must be idle.
   *
   * @param table the value; not null
   * @param nowMs the current time
   * @param written called with the time once the write is known to have taken effect; not null
   */
  public void write(StoredTable table, long nowMs, LongConsumer written) {
    pending = table;
    pendingBytes = context.codec().encodeTable(table);
    onWritten = written;
    startedAtMs = nowMs;
    unknown = false;
    send(nowMs);
  }

  /**
   * Repeats a step that failed.
   *
   * @param nowMs the current time
   */
  public void tick(long nowMs) {
    if (pending == null || inFlight || nowMs < retryAtMs) {
      return;
    }
    if (unknown) {
      readBack(nowMs);
    } else {
      send(nowMs);
    }
  }

  private void send(long nowMs) {
    inFlight = true;
    context
        .outbox()
        .write(
            StoreKeys.table(context.cell()), pendingBytes, revision, "", nowMs, this::onWriteReply);
  }

  private void onWriteReply(StoreReply reply, long nowMs) {
    inFlight = false;
    boolean guessed =
        reply.outcome() == StoreOutcome.UNKNOWN && !context.rules().readBackUnknownWrites();
    if (reply.outcome() == StoreOutcome.DONE || guessed) {
      finish(reply.revision(), nowMs);
    } else if (reply.outcome() == StoreOutcome.UNAVAILABLE) {
      retryAtMs = nowMs + context.timings().heartbeatMs();
    } else {
      unknown = true;
      readBack(nowMs);
    }
  }

  private void readBack(long nowMs) {
    inFlight = true;
    context.outbox().read(StoreKeys.table(context.cell()), nowMs, this::onReadBack);
  }

  private void onReadBack(StoreReply reply, long nowMs) {
    inFlight = false;
    retryAtMs = nowMs + context.timings().heartbeatMs();
    if (reply.outcome() != StoreOutcome.DONE) {
      return;
    }
    if (reply.revision() == revision) {
      unknown = false;
    } else if (Arrays.equals(reply.value(), pendingBytes)) {
      finish(reply.revision(), nowMs);
    } else {
      onDeposed.run();
    }
  }

  private void finish(long writtenRevision, long nowMs) {
    revision = writtenRevision;
    pending = null;
    unknown = false;
    onWritten.accept(nowMs);
  }
}
