package io.cuminvalve.core.intent;

import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.protocol.IntentPullReply;
import io.cuminvalve.core.table.TableVersion;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Whether a keeper has caught up after a change of the registered routers or after its start.
 *
 * <p>Each granted claim is at {@link IntentCoordinator#COPIES} keepers. So a keeper that heard of
 * all but one of the routers that could grant before knows of each claim; and since those no longer
 * grant under the earlier routers, no claim can be granted there any more. A router that answers,
 * but has not caught up itself, is one that was heard of only if nobody met an earlier run of it:
 * it has granted nothing yet.
 *
 * @since 0.1
 */
final class IntentRecovery {

  private TableVersion completeVersion = TableVersion.NONE;
  private List<RouterId> completeRouters = List.of();

  private TableVersion newestVersion = TableVersion.NONE;
  private List<RouterId> newestRouters = List.of();
  private final Set<RouterId> silent = new LinkedHashSet<>();
  private final Set<RouterId> heard = new HashSet<>();
  private final Set<RouterId> answered = new HashSet<>();
  private final Set<RouterId> restarted = new HashSet<>();
  private boolean ready;
  private long nonce;
  private long startedAtMs;

  boolean isReady() {
    return ready;
  }

  long nonce() {
    return nonce;
  }

  TableVersion completeVersion() {
    return completeVersion;
  }

  List<RouterId> completeRouters() {
    return completeRouters;
  }

  /** Returns the routers that have not answered. */
  List<RouterId> silent() {
    return new ArrayList<>(silent);
  }

  /** Starts over: the registered routers changed. */
  void start(RouterId self, List<RouterId> routers, long nowMs) {
    ready = false;
    nonce++;
    startedAtMs = nowMs;
    silent.clear();
    silent.addAll(routers);
    silent.remove(self);
    heard.clear();
    answered.clear();
    answered.add(self);
    restarted.clear();
    newestVersion = completeVersion;
    newestRouters = completeRouters;
    if (!completeVersion.equals(TableVersion.NONE)) {
      heard.add(self);
    }
  }

  /** Takes the last part of a reply. */
  void onReply(IntentPullReply reply) {
    silent.remove(reply.router());
    answered.add(reply.router());
    restarted.addAll(reply.restarted());
    if (reply.completeVersion().equals(TableVersion.NONE)) {
      return;
    }
    heard.add(reply.router());
    if (reply.completeVersion().isNewerThan(newestVersion)) {
      newestVersion = reply.completeVersion();
      newestRouters = reply.completeRouters();
    }
  }

  /** Becomes ready if enough was heard, or if it waited for too long. */
  void check(TableVersion version, List<RouterId> routers, long limitMs, long nowMs) {
    if (ready || !(heardEnough() || nowMs - startedAtMs >= limitMs)) {
      return;
    }
    ready = true;
    completeVersion = version;
    completeRouters = routers;
  }

  /** Keeps the version of completeness up to date while the registered routers stay the same. */
  void onSameRouters(TableVersion version) {
    if (ready) {
      completeVersion = version;
    }
  }

  private boolean heardEnough() {
    if (newestRouters.isEmpty()) {
      return silent.isEmpty();
    }
    int copies = Math.min(IntentCoordinator.COPIES, newestRouters.size());
    return newestRouters.stream().filter(this::isMissing).count() < copies;
  }

  /** Tells whether claims that a router may have granted are not heard of. */
  private boolean isMissing(RouterId router) {
    boolean neverGranted = answered.contains(router) && !restarted.contains(router);
    return !heard.contains(router) && !neverGranted;
  }
}
