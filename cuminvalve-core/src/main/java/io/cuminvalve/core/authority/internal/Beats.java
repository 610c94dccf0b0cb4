package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.protocol.Heartbeat;
import io.cuminvalve.core.table.RegisteredRouter;
import io.cuminvalve.core.table.TableVersion;
import java.util.List;

/**
 * Sends the holder's heartbeats.
 *
 * @since 0.1
 */
public final class Beats {

  private final HolderContext context;
  private final RoundCounter rounds;
  private final OrderPermit permit;
  private long dueAtMs = Long.MIN_VALUE;

  /**
   * Creates a sender whose first heartbeat is due.
   *
   * @param context the holder; not null
   * @param rounds numbers the heartbeats; not null
   * @param permit is told of each heartbeat; not null
   */
  public Beats(HolderContext context, RoundCounter rounds, OrderPermit permit) {
    this.context = context;
    this.rounds = rounds;
    this.permit = permit;
  }

  /**
   * Tells whether a heartbeat is due.
   *
   * @param nowMs the current time
   * @return true if the last one is an interval ago
   */
  public boolean isDue(long nowMs) {
    return nowMs >= dueAtMs;
  }

  /**
   * Sends a heartbeat to every router.
   *
   * @param routers the routers; not null
   * @param version the newest version issued; not null
   * @param configRevision the newest configuration
   * @param nowMs the current time
   */
  public void send(
      List<RegisteredRouter> routers, TableVersion version, long configRevision, long nowMs) {
    dueAtMs = nowMs + context.timings().heartbeatMs();
    long round = rounds.next();
    permit.onSent(round, nowMs);
    Heartbeat heartbeat =
        new Heartbeat(context.cell(), context.term(), round, version, configRevision);
    for (RegisteredRouter router : routers) {
      context.outbox().send(router.peerAddress(), heartbeat);
    }
  }
}
