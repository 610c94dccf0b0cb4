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
 * Tracks whether a replica has recovered the claims of the others after its start or after a change
 * of the registered routers.
 *
 * <p>Each granted claim is stored by {@link IntentCoordinator#WRITE_QUORUM} replicas. A replica
 * that has read the entries of all but one of the routers that could grant before therefore knows
 * every claim. Those routers no longer grant under the earlier set of routers, so no further claim
 * can be granted under it. A router that replies without having recovered itself counts as read
 * only if no router has seen an earlier incarnation of it: it has granted nothing yet.
 *
 * @since 0.1
 */
final class IntentRecovery {

  private TableVersion completeVersion = TableVersion.NONE;
  private List<RouterId> completeRouters = List.of();

  private TableVersion newestVersion = TableVersion.NONE;
  private List<RouterId> newestRouters = List.of();
  private final Set<RouterId> unanswered = new LinkedHashSet<>();
  private final Set<RouterId> recoveredFrom = new HashSet<>();
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

  /** Returns the routers that have not yet sent a complete reply. */
  List<RouterId> unanswered() {
    return new ArrayList<>(unanswered);
  }

  /** Restarts the recovery because the registered routers changed. */
  void start(RouterId self, List<RouterId> routers, long nowMs) {
    ready = false;
    nonce++;
    startedAtMs = nowMs;
    unanswered.clear();
    unanswered.addAll(routers);
    unanswered.remove(self);
    recoveredFrom.clear();
    answered.clear();
    answered.add(self);
    restarted.clear();
    newestVersion = completeVersion;
    newestRouters = completeRouters;
    if (!completeVersion.equals(TableVersion.NONE)) {
      recoveredFrom.add(self);
    }
  }

  /** Processes the last part of a reply. */
  void onReply(IntentPullReply reply) {
    unanswered.remove(reply.router());
    answered.add(reply.router());
    restarted.addAll(reply.restarted());
    if (reply.completeVersion().equals(TableVersion.NONE)) {
      return;
    }
    recoveredFrom.add(reply.router());
    if (reply.completeVersion().isNewerThan(newestVersion)) {
      newestVersion = reply.completeVersion();
      newestRouters = reply.completeRouters();
    }
  }

  /** Completes the recovery if enough routers replied, or after the timeout. */
  void check(TableVersion version, List<RouterId> routers, long timeoutMs, long nowMs) {
    if (ready || !(hasEnoughReplies() || nowMs - startedAtMs >= timeoutMs)) {
      return;
    }
    ready = true;
    completeVersion = version;
    completeRouters = routers;
  }

  /** Advances the version of a complete replica if the registered routers stay the same. */
  void onSameRouters(TableVersion version) {
    if (ready) {
      completeVersion = version;
    }
  }

  private boolean hasEnoughReplies() {
    if (newestRouters.isEmpty()) {
      return unanswered.isEmpty();
    }
    int quorum = Math.min(IntentCoordinator.WRITE_QUORUM, newestRouters.size());
    return newestRouters.stream().filter(this::isMissing).count() < quorum;
  }

  /** Returns whether a router may have granted claims that were not recovered. */
  private boolean isMissing(RouterId router) {
    boolean neverGranted = answered.contains(router) && !restarted.contains(router);
    return !recoveredFrom.contains(router) && !neverGranted;
  }
}
