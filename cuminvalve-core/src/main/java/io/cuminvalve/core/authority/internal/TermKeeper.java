package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.authority.AuthorityTimings;
import io.cuminvalve.core.authority.PeerProbeOutcome;
import io.cuminvalve.core.authority.StoreKeys;
import io.cuminvalve.core.authority.StoreOutcome;
import io.cuminvalve.core.authority.StoreReply;
import io.cuminvalve.core.authority.TableCodec;
import io.cuminvalve.core.authority.TermRecord;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.ControllerId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.protocol.HolderProbe;

/**
 * Watches the holder and takes the term when it is gone.
 *
 * <p>The store's compare-and-swap orders holders, so taking the term is safe at any moment; the
 * rules here only avoid doing it without need. A refused connection shows at once that the holder
 * is gone. Silence counts only once the holder's lease in the store has lapsed as well.
 *
 * @since 0.1
 */
public final class TermKeeper {

  private final ControllerId self;
  private final Incarnation incarnation;
  private final String peerAddress;
  private final CellId cell;
  private final AuthorityTimings timings;
  private final Outbox outbox;
  private final TableCodec codec;

  private TermRecord known;
  private long knownRevision;
  private TermRecord wanted;
  private long lastHeldTerm;
  private boolean held;
  private boolean read;
  private boolean inFlight;
  private long retryAtMs = Long.MIN_VALUE;
  private long probeAtMs = Long.MIN_VALUE;
  private long aliveAtMs = Long.MIN_VALUE;

  /**
   * Creates the keeper of a controller that has just started.
   *
   * @param self the controller; not null
   * @param incarnation its current run; not null
   * @param peerAddress its own peer address; not null
   * @param cell the cell; not null
   * @param timings the durations; not null
   * @param outbox takes the effects; not null
   * @param codec encodes the term record; not null
   */
  public TermKeeper(
      ControllerId self,
      Incarnation incarnation,
      String peerAddress,
      CellId cell,
      AuthorityTimings timings,
      Outbox outbox,
      TableCodec codec) {
    this.self = self;
    this.incarnation = incarnation;
    this.peerAddress = peerAddress;
    this.cell = cell;
    this.timings = timings;
    this.outbox = outbox;
    this.codec = codec;
  }

  /**
   * Tells whether this run holds the term, as far as it knows.
   *
   * @return true until {@link #stepDown}
   */
  public boolean isHeld() {
    return held;
  }

  /**
   * Returns the highest term known.
   *
   * @return 0 if none
   */
  public long term() {
    return known == null ? 0 : known.term();
  }

  /**
   * Returns the address of the holder as last known.
   *
   * @return empty if unknown
   */
  public String holderAddress() {
    return known == null ? "" : known.peerAddress();
  }

  /**
   * Tells whether a record is this run's own.
   *
   * @param record the record; not null
   * @return true if this run wrote it
   */
  public boolean isOwn(TermRecord record) {
    return record.holder().equals(self) && record.incarnation().equals(incarnation);
  }

  /**
   * Gives the term up because a newer one exists; the store is read for the new holder.
   *
   * @param nowMs the current time
   */
  public void stepDown(long nowMs) {
    held = false;
    inFlight = false;
    wanted = null;
    read = false;
    aliveAtMs = nowMs;
    retryAtMs = nowMs;
  }

  /**
   * Records that the holder answered.
   *
   * @param term the term that it answered with
   * @param nowMs the current time
   */
  public void onAlive(long term, long nowMs) {
    if (held) {
      return;
    }
    if (term == term()) {
      aliveAtMs = nowMs;
    } else if (term > term()) {
      read = false;
    }
  }

  /**
   * Records what a probe of a process found.
   *
   * @param address the address; not null
   * @param outcome what was found; not null
   * @param nowMs the current time
   */
  public void onPeerProbe(String address, PeerProbeOutcome outcome, long nowMs) {
    boolean holderGone = outcome == PeerProbeOutcome.REFUSED && address.equals(holderAddress());
    if (holderGone && isFree(nowMs)) {
      take(nowMs);
    }
  }

  /**
   * Lets time pass.
   *
   * @param nowMs the current time
   */
  public void tick(long nowMs) {
    if (held || inFlight || nowMs < retryAtMs) {
      return;
    }
    if (wanted != null || !read) {
      readTerm(nowMs);
    } else if (known == null || known.peerAddress().equals(peerAddress)) {
      take(nowMs);
    } else {
      watch(nowMs);
    }
  }

  private boolean isFree(long nowMs) {
    return !held && !inFlight && read && wanted == null && nowMs >= retryAtMs;
  }

  private void watch(long nowMs) {
    if (nowMs >= probeAtMs) {
      probeAtMs = nowMs + timings.probeMs();
      outbox.send(known.peerAddress(), new HolderProbe(cell));
      outbox.probePeer(known.peerAddress());
    }
    if (nowMs - aliveAtMs >= timings.termLeaseMs()) {
      inFlight = true;
      outbox.read(StoreKeys.holder(cell), nowMs, this::onHolderKey);
    }
  }

  private void onHolderKey(StoreReply reply, long nowMs) {
    inFlight = false;
    retryAtMs = nowMs + timings.heartbeatMs();
    if (reply.outcome() == StoreOutcome.DONE && reply.revision() == 0) {
      take(nowMs);
    }
  }

  private void take(long nowMs) {
    wanted = new TermRecord(term() + 1, self, incarnation, peerAddress);
    inFlight = true;
    outbox.write(
        StoreKeys.term(cell), codec.encodeTerm(wanted), knownRevision, "", nowMs, this::onTaken);
  }

  private void onTaken(StoreReply reply, long nowMs) {
    inFlight = false;
    if (reply.outcome() == StoreOutcome.DONE) {
      hold(wanted, reply.revision());
    } else if (reply.outcome() == StoreOutcome.UNAVAILABLE) {
      wanted = null;
      retryAtMs = nowMs + timings.heartbeatMs();
    } else {
      // Read back: the write may have taken effect, or another controller was faster.
      readTerm(nowMs);
    }
  }

  private void readTerm(long nowMs) {
    inFlight = true;
    outbox.read(StoreKeys.term(cell), nowMs, this::onTermRead);
  }

  private void onTermRead(StoreReply reply, long nowMs) {
    inFlight = false;
    if (reply.outcome() != StoreOutcome.DONE) {
      retryAtMs = nowMs + timings.heartbeatMs();
      return;
    }
    TermRecord found = reply.revision() == 0 ? null : codec.decodeTerm(reply.value());
    // A write of this run may take effect late; a term that it gave up is not taken up again.
    if (found != null && isOwn(found) && found.term() > lastHeldTerm) {
      hold(found, reply.revision());
      return;
    }
    wanted = null;
    read = true;
    boolean other = found != null && (known == null || found.term() != known.term());
    known = found;
    knownRevision = reply.revision();
    if (other) {
      aliveAtMs = nowMs;
    }
  }

  private void hold(TermRecord record, long revision) {
    known = record;
    knownRevision = revision;
    wanted = null;
    held = true;
    lastHeldTerm = record.term();
    read = true;
    outbox.stateChanged("termTaken", "term " + record.term());
  }
}
