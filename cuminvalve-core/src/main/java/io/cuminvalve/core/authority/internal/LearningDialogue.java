package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.authority.RoutingView;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.protocol.HolderLearnReply;
import io.cuminvalve.core.protocol.HolderLearnRequest;
import io.cuminvalve.core.protocol.LearnReply;
import io.cuminvalve.core.protocol.LearnRequest;
import io.cuminvalve.core.protocol.RouterHints;
import io.cuminvalve.core.protocol.TableRequest;
import io.cuminvalve.core.table.RegisteredRouter;
import io.cuminvalve.core.table.TableVersion;

/**
 * Asks the holder and the witnesses until a router has caught up after its start.
 *
 * @since 0.1
 */
public final class LearningDialogue {

  private final CellId cell;
  private final RouterId self;
  private final long intervalMs;
  private final InstalledTable installed;
  private final Learner learner;
  private final HolderLink holder;
  private final RequestNumbers numbers;
  private final RouterOutbox outbox;
  private long askedAtMs = RoutingView.NEVER_MS;

  /**
   * Creates the dialogue of a router that just started.
   *
   * @param cell the cell; not null
   * @param self the router; not null
   * @param intervalMs time between two questions
   * @param installed the installed table; not null
   * @param learner takes the answers; not null
   * @param holder knows the holder's address; not null
   * @param numbers numbers the requests; not null
   * @param outbox takes the effects; not null
   */
  public LearningDialogue(
      CellId cell,
      RouterId self,
      long intervalMs,
      InstalledTable installed,
      Learner learner,
      HolderLink holder,
      RequestNumbers numbers,
      RouterOutbox outbox) {
    this.cell = cell;
    this.self = self;
    this.intervalMs = intervalMs;
    this.installed = installed;
    this.learner = learner;
    this.holder = holder;
    this.numbers = numbers;
    this.outbox = outbox;
  }

  /**
   * Asks, if it is time to.
   *
   * @param nowMs the current time
   */
  public void ask(long nowMs) {
    boolean due = askedAtMs == RoutingView.NEVER_MS || nowMs - askedAtMs >= intervalMs;
    if (learner.isLearned() || !due) {
      return;
    }
    askedAtMs = nowMs;
    long number = numbers.next();
    if (!holder.address().isEmpty()) {
      outbox.send(holder.address(), new HolderLearnRequest(cell, self, number));
      if (installed.table() == null) {
        outbox.send(holder.address(), new TableRequest(cell, TableVersion.NONE));
      }
    }
    for (RegisteredRouter witness : installed.witnessesApartFrom(self)) {
      outbox.send(witness.peerAddress(), new LearnRequest(cell, self, number));
    }
  }

  /**
   * Takes the answer of a witness.
   *
   * @param reply the answer; not null
   * @param from its address; not null
   */
  public void onReply(LearnReply reply, String from) {
    if (!numbers.isOfThisRun(reply.nonce()) || learner.isLearned()) {
      return;
    }
    fetchIfNewer(reply.version(), from);
    if (reply.learned()) {
      learner.onWitness(reply.witness(), reply.version(), reply.term());
    }
  }

  /**
   * Takes the answer of the holder.
   *
   * @param reply the answer; not null
   * @param from its address; not null
   */
  public void onReply(HolderLearnReply reply, String from) {
    if (numbers.isOfThisRun(reply.nonce())) {
      learner.onHolder(reply.version(), reply.term());
      fetchIfNewer(reply.version(), from);
    }
  }

  /**
   * Asks other routers for a table, if there is none yet.
   *
   * @param hints where to ask; not null
   */
  public void onHints(RouterHints hints) {
    if (installed.table() != null) {
      return;
    }
    for (String address : hints.routerAddresses()) {
      outbox.send(address, new TableRequest(cell, TableVersion.NONE));
    }
  }

  /**
   * Asks for a table that is newer than the installed one.
   *
   * @param version the version that a process has; not null
   * @param from its address; not null
   */
  public void fetchIfNewer(TableVersion version, String from) {
    if (version.isNewerThan(installed.version())) {
      outbox.send(from, new TableRequest(cell, installed.version()));
    }
  }
}
