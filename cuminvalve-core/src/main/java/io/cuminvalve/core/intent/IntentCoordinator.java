package io.cuminvalve.core.intent;

import io.cuminvalve.core.admission.RendezvousHash;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.protocol.IntentClaimReply;
import io.cuminvalve.core.protocol.IntentClaimRequest;
import io.cuminvalve.core.protocol.IntentPullReply;
import io.cuminvalve.core.protocol.IntentPullRequest;
import io.cuminvalve.core.protocol.IntentSettled;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.table.KeyHasher;
import io.cuminvalve.core.table.RegisteredRouter;
import io.cuminvalve.core.table.TableVersion;
import io.cuminvalve.core.verdict.RefusalReason;
import io.cuminvalve.core.verdict.Verdict;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Coordinates the claims of one router in one cell: claims operations for the requests of the
 * router, and serves as a replica of the operations assigned to it.
 *
 * <p>An operation has three replicas, chosen by {@link RendezvousHash}. A claim is granted when two
 * of them have stored it. Two routers therefore know of a request before its first byte is sent,
 * and the loss of one replica neither loses a claim nor blocks new ones.
 *
 * <p>Not thread-safe: the caller serialises all calls of one coordinator.
 *
 * @since 0.1
 */
public final class IntentCoordinator {

  /** How many replicas must store a claim before the request is sent. */
  static final int WRITE_QUORUM = 2;

  private static final int REPLICAS = 3;
  private static final int ENTRIES_PER_MESSAGE = 10_000;
  private static final int ATTEMPTS_PER_TIMEOUT = 6;

  private final CellId cell;
  private final RouterId self;
  private final Incarnation incarnation;
  private final IntentSettings settings;
  private final IntentSink sink;
  private final IntentReplica replica;
  private final IntentRecovery recovery = new IntentRecovery();
  private final Map<RequestId, Claim> claims = new HashMap<>();
  private final Map<RouterId, IntentPullRequest> deferredPulls = new HashMap<>();
  private final Map<RouterId, Incarnation> incarnations = new HashMap<>();
  private final Map<RouterId, Long> restartedAtMs = new HashMap<>();
  private TableVersion version = TableVersion.NONE;
  private RendezvousHash routers = new RendezvousHash(List.of());
  private List<RouterId> routerIds = List.of();
  private long routersDigest;
  private long pulledAtMs;

  /**
   * Creates the coordinator of a router that has no table yet and an empty replica.
   *
   * @param cell the cell; not null
   * @param self the router; not null
   * @param incarnation the current incarnation of the router; not null
   * @param settings limits and timeouts; not null
   * @param sink receives results and messages; not null
   */
  public IntentCoordinator(
      CellId cell,
      RouterId self,
      Incarnation incarnation,
      IntentSettings settings,
      IntentSink sink) {
    this.cell = cell;
    this.self = self;
    this.incarnation = incarnation;
    this.settings = settings;
    this.sink = sink;
    this.replica = new IntentReplica(settings);
  }

  /**
   * Applies a table version.
   *
   * @param newVersion the version; older ones are ignored; not null
   * @param newRouters the registered routers of the version; not null
   * @param nowMs the current time in milliseconds
   */
  public void onTable(TableVersion newVersion, List<RegisteredRouter> newRouters, long nowMs) {
    if (!newVersion.isNewerThan(version)) {
      return;
    }
    boolean next =
        newVersion.equals(version.nextWrite()) || newVersion.equals(version.nextActivation());
    List<RouterId> newIds = newRouters.stream().map(RegisteredRouter::id).toList();
    boolean sameRouters = next && newIds.equals(routerIds);
    version = newVersion;
    if (sameRouters) {
      recovery.onSameRouters(version);
    } else {
      changeRouters(newRouters, newIds, nowMs);
    }
    List<IntentPullRequest> due = new ArrayList<>(deferredPulls.values());
    deferredPulls.clear();
    due.forEach(request -> onPullRequest(request, nowMs));
  }

  /**
   * Claims an operation; the sink receives the result, during this call or later.
   *
   * @param operation the operation; not null
   * @param request the request, unique over all routers and incarnations; not null
   * @param deadlineMs the deadline of the request on the router's clock
   * @param nowMs the current time in milliseconds
   */
  public void claim(OperationId operation, RequestId request, long deadlineMs, long nowMs) {
    Claim claim = new Claim(operation, request, deadlineMs, nowMs);
    claims.put(request, claim);
    advance(claim, nowMs);
  }

  /**
   * Reports the outcome of a request to the replicas, whether or not its claim was granted.
   *
   * @param operation the operation; not null
   * @param request the request; not null
   * @param verdict the outcome; not null
   * @param nowMs the current time in milliseconds
   */
  public void settle(OperationId operation, RequestId request, Verdict verdict, long nowMs) {
    Claim claim = claims.remove(request);
    if (claim != null) {
      claim.ended = true;
    }
    for (RouterId to : replicasOf(operation)) {
      if (to.equals(self)) {
        replica.settle(operation, request, self, verdict, nowMs);
      } else {
        sink.send(to, new IntentSettled(cell, self, operation, request, verdict));
      }
    }
  }

  /**
   * Handles a message of another router. Messages that do not concern claims are ignored.
   *
   * @param message the message; not null
   * @param from the sender; not null
   * @param nowMs the current time in milliseconds
   */
  public void onMessage(PeerMessage message, RouterId from, long nowMs) {
    if (message instanceof IntentClaimRequest request) {
      updateIncarnation(request.router(), request.incarnation(), nowMs);
      sink.send(from, answer(request, nowMs));
    } else if (message instanceof IntentClaimReply reply) {
      onClaimReply(reply, nowMs);
    } else if (message instanceof IntentSettled settled) {
      replica.settle(
          settled.operation(), settled.request(), settled.router(), settled.verdict(), nowMs);
    } else if (message instanceof IntentPullRequest request) {
      onPullRequest(request, nowMs);
    } else if (message instanceof IntentPullReply reply) {
      onPullReply(reply, nowMs);
    }
  }

  /**
   * Processes timeouts and retries; to be called at least every 20 milliseconds.
   *
   * @param nowMs the current time in milliseconds
   */
  public void tick(long nowMs) {
    replica.tick(nowMs);
    restartedAtMs.values().removeIf(atMs -> nowMs - atMs >= settings.retentionMs());
    recovery.check(version, routerIds, settings.recoveryTimeoutMs(), nowMs);
    if (!recovery.isReady() && nowMs - pulledAtMs >= settings.claimTimeoutMs()) {
      pull(nowMs);
    }
    new ArrayList<>(claims.values()).forEach(claim -> advance(claim, nowMs));
  }

  /**
   * Returns whether this router answers claims as a replica.
   *
   * @return false until its recovery is complete
   */
  public boolean isReady() {
    return recovery.isReady();
  }

  /**
   * Returns how many operations the replica of this router stores.
   *
   * @return the number of operations
   */
  public int size() {
    return replica.size();
  }

  private void changeRouters(List<RegisteredRouter> newRouters, List<RouterId> newIds, long nowMs) {
    for (RouterId earlier : routerIds) {
      if (!newIds.contains(earlier)) {
        replica.onRouterLost(earlier, nowMs);
      }
    }
    routers = new RendezvousHash(newRouters);
    routerIds = newIds;
    routersDigest = KeyHasher.hash(newIds.toString());
    recovery.start(self, routerIds, nowMs);
    pull(nowMs);
    recovery.check(version, routerIds, settings.recoveryTimeoutMs(), nowMs);
  }

  private void pull(long nowMs) {
    pulledAtMs = nowMs;
    for (RouterId router : recovery.unanswered()) {
      sink.send(router, new IntentPullRequest(cell, self, incarnation, version, recovery.nonce()));
    }
  }

  private List<RouterId> replicasOf(OperationId operation) {
    return routers.pick(operation.hash(), REPLICAS);
  }

  private void advance(Claim claim, long nowMs) {
    if (claim.ended) {
      return;
    }
    if (nowMs >= claim.deadlineMs || nowMs - claim.startedAtMs >= settings.claimTimeoutMs()) {
      refuse(claim, Verdict.MAY_HAVE_RUN, RefusalReason.INTENT_UNAVAILABLE, 0, nowMs);
      return;
    }
    if (claim.routersDigest != routersDigest) {
      claim.routersDigest = routersDigest;
      claim.replicas = replicasOf(claim.operation);
      claim.granted.clear();
      claim.requestedAtMs.clear();
    }
    long retryIntervalMs = settings.claimTimeoutMs() / ATTEMPTS_PER_TIMEOUT;
    boolean useAllReplicas = nowMs - claim.startedAtMs >= retryIntervalMs;
    int replicaCount =
        useAllReplicas ? claim.replicas.size() : Math.min(WRITE_QUORUM, claim.replicas.size());
    for (RouterId to : claim.replicas.subList(0, replicaCount)) {
      Long requestedAtMs = claim.requestedAtMs.get(to);
      boolean due = requestedAtMs == null || nowMs - requestedAtMs >= retryIntervalMs;
      if (due && !claim.ended && !claim.granted.contains(to)) {
        claim.requestedAtMs.put(to, nowMs);
        sendClaim(claim, to, nowMs);
      }
    }
  }

  private void sendClaim(Claim claim, RouterId to, long nowMs) {
    IntentClaimRequest request =
        new IntentClaimRequest(
            cell,
            self,
            incarnation,
            version,
            claim.operation,
            claim.request,
            claim.deadlineMs - nowMs,
            routersDigest);
    if (to.equals(self)) {
      onClaimReply(answer(request, nowMs), nowMs);
    } else {
      sink.send(to, request);
    }
  }

  /** Answers a claim; NOT_READY if the sender has different registered routers. */
  private IntentClaimReply answer(IntentClaimRequest request, long nowMs) {
    boolean sameRouters = request.routersDigest() == routersDigest;
    IntentAnswer answer =
        sameRouters && recovery.isReady()
            ? replica.claim(
                request.operation(),
                request.request(),
                request.router(),
                request.remainingMs(),
                nowMs)
            : IntentAnswer.NOT_READY;
    return new IntentClaimReply(
        cell,
        self,
        request.operation(),
        request.request(),
        answer,
        settings.claimTimeoutMs(),
        request.routersDigest());
  }

  private void onClaimReply(IntentClaimReply reply, long nowMs) {
    Claim claim = claims.get(reply.request());
    if (claim == null || claim.ended || reply.routersDigest() != claim.routersDigest) {
      return;
    }
    switch (reply.answer()) {
      case GRANTED -> onGranted(claim, reply.replica());
      case RAN -> refuse(claim, Verdict.RAN, RefusalReason.ALREADY_RAN, 0, nowMs);
      case MAY_HAVE_RUN ->
          refuse(claim, Verdict.MAY_HAVE_RUN, RefusalReason.EARLIER_MAY_HAVE_RUN, 0, nowMs);
      case IN_FLIGHT ->
          refuse(
              claim,
              Verdict.MAY_HAVE_RUN,
              RefusalReason.DUPLICATE_IN_FLIGHT,
              reply.retryAfterMs(),
              nowMs);
      default -> {
        // Not ready: retried, also at the third replica, until the claim times out.
      }
    }
  }

  private void onGranted(Claim claim, RouterId by) {
    claim.granted.add(by);
    if (claim.granted.size() >= Math.min(WRITE_QUORUM, claim.replicas.size())) {
      claim.ended = true;
      claims.remove(claim.request);
      sink.granted(claim.request);
    }
  }

  /** Refuses a claim and tells the replicas that its request did not run. */
  private void refuse(
      Claim claim, Verdict earlier, RefusalReason reason, long retryAfterMs, long nowMs) {
    settle(claim.operation, claim.request, Verdict.NOT_RUN, nowMs);
    long afterMs =
        reason == RefusalReason.INTENT_UNAVAILABLE ? settings.claimTimeoutMs() : retryAfterMs;
    sink.refused(claim.request, earlier, reason, afterMs);
  }

  private void onPullRequest(IntentPullRequest request, long nowMs) {
    if (request.version().isNewerThan(version)) {
      deferredPulls.put(request.router(), request);
      return;
    }
    updateIncarnation(request.router(), request.incarnation(), nowMs);
    List<IntentEntry> entries = new ArrayList<>();
    replica.forEach(
        nowMs,
        entry -> {
          if (routers.isPicked(request.router(), entry.operation().hash(), REPLICAS)) {
            entries.add(entry);
          }
        });
    int from = 0;
    do {
      int to = Math.min(entries.size(), from + ENTRIES_PER_MESSAGE);
      boolean last = to == entries.size();
      sink.send(
          request.router(),
          new IntentPullReply(
              cell,
              self,
              incarnation,
              version,
              request.nonce(),
              recovery.completeVersion(),
              recovery.completeRouters(),
              List.copyOf(entries.subList(from, to)),
              last,
              List.copyOf(restartedAtMs.keySet())));
      from = to;
    } while (from < entries.size());
  }

  private void onPullReply(IntentPullReply reply, long nowMs) {
    reply.entries().forEach(entry -> replica.merge(entry, nowMs));
    if (reply.nonce() == recovery.nonce() && reply.last()) {
      recovery.onReply(reply);
      recovery.check(version, routerIds, settings.recoveryTimeoutMs(), nowMs);
    }
  }

  /**
   * Records the incarnation of a router. A new incarnation knows nothing of the requests of the
   * previous one, so the claims of those are ended.
   */
  private void updateIncarnation(RouterId router, Incarnation reported, long nowMs) {
    Incarnation earlier = incarnations.put(router, reported);
    if (earlier != null && !earlier.equals(reported)) {
      replica.onRouterLost(router, nowMs);
      restartedAtMs.put(router, nowMs);
    }
  }
}
