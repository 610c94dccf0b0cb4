package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.authority.CellStatus.RouterStatus;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.protocol.HeartbeatReply;
import io.cuminvalve.core.table.TableVersion;
import java.util.HashMap;
import java.util.Map;

/**
 * The last heartbeat reply of each router.
 *
 * @since 0.1
 */
public final class RouterReports {

  private final Map<RouterId, Report> reports = new HashMap<>();

  /**
   * Records a reply; a reply to an earlier round than the last known is ignored.
   *
   * @param reply the reply; not null
   * @param nowMs the current time
   */
  public void add(HeartbeatReply reply, long nowMs) {
    Report last = reports.get(reply.router());
    if (last == null || reply.round() >= last.reply.round()) {
      reports.put(reply.router(), new Report(reply, nowMs));
    }
  }

  /**
   * Returns the last reply of a router.
   *
   * @param router the router; not null
   * @return null if there was none
   */
  public HeartbeatReply last(RouterId router) {
    Report report = reports.get(router);
    return report == null ? null : report.reply;
  }

  /**
   * Returns for how long a router has been silent.
   *
   * @param router the router; not null
   * @param nowMs the current time
   * @return {@link Long#MAX_VALUE} if it never replied
   */
  public long silentMs(RouterId router, long nowMs) {
    Report report = reports.get(router);
    return report == null ? Long.MAX_VALUE : nowMs - report.receivedAtMs;
  }

  /**
   * Returns what operators can see of a router.
   *
   * @param router the router; not null
   * @param nowMs the current time
   * @return never null
   */
  public RouterStatus status(RouterId router, long nowMs) {
    HeartbeatReply last = last(router);
    if (last == null) {
      return new RouterStatus(router, TableVersion.NONE, 0, false, Long.MAX_VALUE);
    }
    return new RouterStatus(
        router, last.version(), last.configRevision(), last.learned(), silentMs(router, nowMs));
  }

  private record Report(HeartbeatReply reply, long receivedAtMs) {}
}
