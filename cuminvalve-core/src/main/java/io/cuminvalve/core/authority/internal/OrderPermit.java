package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.inventory.GrantCapability;
import io.cuminvalve.core.protocol.HeartbeatReply;
import io.cuminvalve.core.table.ShardTable;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tells whether a holder may give orders to targets.
 *
 * <p>It may while a majority of witnesses confirmed its term to heartbeats sent within the last
 * route lease. So a holder that was paused or cut off, and replaced meanwhile, gives no order that
 * a target without checks would obey. A new holder of such targets waits for one lease first.
 *
 * @since 0.1
 */
public final class OrderPermit {

  private static final int MAX_ROUNDS = 64;

  private final HolderContext context;
  private final Map<Long, Long> sentAtMs = new LinkedHashMap<>();
  private final Map<RouterId, Long> confirmedMs = new HashMap<>();
  private long uncheckedFromMs;

  /**
   * Creates a permit that nobody has confirmed.
   *
   * @param context the holder; not null
   */
  public OrderPermit(HolderContext context) {
    this.context = context;
  }

  /**
   * Records that a heartbeat is sent.
   *
   * @param round its number
   * @param nowMs the time before the first message is sent
   */
  public void onSent(long round, long nowMs) {
    sentAtMs.put(round, nowMs);
    Iterator<Long> oldest = sentAtMs.keySet().iterator();
    while (sentAtMs.size() > MAX_ROUNDS) {
      oldest.next();
      oldest.remove();
    }
  }

  /**
   * Records a reply.
   *
   * @param reply the reply; not null
   */
  public void onReply(HeartbeatReply reply) {
    Long roundSentAtMs = sentAtMs.get(reply.round());
    if (roundSentAtMs != null && reply.learned() && reply.term() == context.term()) {
      confirmedMs.merge(reply.router(), roundSentAtMs, Math::max);
    }
  }

  /**
   * Records that the takeover has ended.
   *
   * @param first whether the cell had no table, so that there was no holder before
   * @param nowMs the current time
   */
  public void onAdopted(boolean first, long nowMs) {
    long lapseMs = context.timings().routeLeaseMs() + context.marginMs();
    uncheckedFromMs = first ? nowMs : nowMs + lapseMs;
  }

  /**
   * Tells whether orders may be given now.
   *
   * @param table the issued table, whose witnesses count; not null
   * @param capability what the targets check; not null
   * @param nowMs the current time
   * @return true if a majority confirmed the term recently enough
   */
  public boolean isValid(ShardTable table, GrantCapability capability, long nowMs) {
    if (capability == GrantCapability.CHECKS_NOTHING && nowMs < uncheckedFromMs) {
      return false;
    }
    if (!context.rules().permitOrders()) {
      return true;
    }
    List<RouterId> witnesses = table.witnesses();
    long sinceMs = nowMs - context.timings().routeLeaseMs();
    long recent =
        witnesses.stream()
            .filter(confirmedMs::containsKey)
            .filter(witness -> confirmedMs.get(witness) > sinceMs)
            .count();
    return recent >= Majority.of(witnesses.size());
  }
}
