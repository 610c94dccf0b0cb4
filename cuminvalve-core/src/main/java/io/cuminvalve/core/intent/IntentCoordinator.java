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
 * The intents of one router for one cell: claims operations for its requests, and is a keeper of
 * the operations that the registered routers give it.
 *
 * <p>An operation has three keepers, chosen by {@link RendezvousHash}. A claim is granted when two
 * of them remember it, so before the first byte of a request two routers know of it, and the loss
 * of one keeper neither forgets a claim nor stops new ones.
 *
 * <p>Not thread-safe: the caller serialises all calls of one desk.
 *
 * @since 0.1
 */
public final class IntentCoordinator {

  /** How many routers know of a claim before the request is sent. */
  static final int COPIES = 2;

  private static final int KEEPERS = 3;
  private static final int ENTRIES_PER_MESSAGE = 10_000;
  private static final int ASKS_PER_PATIENCE = 6;

  private final CellId cell;
  private final RouterId self;
  private final Incarnation incarnation;
  private final IntentSettings settings;
  private final IntentSink sink;
  private final IntentReplica keeper;
  private final IntentRecovery catchUp = new IntentRecovery();
  private final Map<RequestId, Claim> claims = new HashMap<>();
  private final Map<RouterId, IntentPullRequest> pullsDue = new HashMap<>();
  private final Map<RouterId, Incarnation> runs = new HashMap<>();
  private final Map<RouterId, Long> restartedAtMs = new HashMap<>();
  private TableVersion version = TableVersion.NONE;
  private RendezvousHash routers = new RendezvousHash(List.of());
  private List<RouterId> routerIds = List.of();
  private long routersDigest;
  private long pulledAtMs;

  /**
   * Creates the desk of a router that has no table yet and remembers nothing.
   *
   * @param cell the cell; not null
   * @param self the router; not null
   * @param incarnation its current run; not null
   * @param settings limits and times; not null
   * @param sink receives the effects; not null
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
    this.keeper = new IntentReplica(settings);
  }

  /**
   * Takes a table version.
   *
   * @param newVersion the version; older ones are ignored; not null
   * @param newRouters its registered routers; not null
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
      catchUp.onSameRouters(version);
    } else {
      changeRouters(newRouters, newIds, nowMs);
    }
    List<IntentPullRequest> due = new ArrayList<>(pullsDue.values());
    pullsDue.clear();
    due.forEach(request -> onPullRequest(request, nowMs));
  }

  /**
   * Claims an operation; the sink gets the answer, at once or later.
   *
   * @param operation the operation; not null
   * @param request the request, unique over all routers and runs; not null
   * @param deadlineMs its deadline on the router's clock
   * @param nowMs the current time in milliseconds
   */
  public void claim(OperationId operation, RequestId request, long deadlineMs, long nowMs) {
    Claim claim = new Claim(operation, request, deadlineMs, nowMs);
    claims.put(request, claim);
    proceed(claim, nowMs);
  }

  /**
   * Tells the keepers how a request ended that claimed an operation or wanted to.
   *
   * @param operation the operation; not null
   * @param request the request; not null
   * @param verdict how it ended; not null
   * @param nowMs the current time in milliseconds
   */
  public void settle(OperationId operation, RequestId request, Verdict verdict, long nowMs) {
    Claim claim = claims.remove(request);
    if (claim != null) {
      claim.ended = true;
    }
    for (RouterId to : keepersOf(operation)) {
      if (to.equals(self)) {
        keeper.settle(operation, request, self, verdict, nowMs);
      } else {
        sink.send(to, new IntentSettled(cell, self, operation, request, verdict));
      }
    }
  }

  /**
   * Takes a message of another router. Messages that are not about intents are ignored.
   *
   * @param message the message; not null
   * @param from the sender; not null
   * @param nowMs the current time in milliseconds
   */
  public void onMessage(PeerMessage message, RouterId from, long nowMs) {
    if (message instanceof IntentClaimRequest request) {
      noteRun(request.router(), request.incarnation(), nowMs);
      sink.send(from, answer(request, nowMs));
    } else if (message instanceof IntentClaimReply reply) {
      onClaimReply(reply, nowMs);
    } else if (message instanceof IntentSettled settled) {
      keeper.settle(
          settled.operation(), settled.request(), settled.router(), settled.verdict(), nowMs);
    } else if (message instanceof IntentPullRequest request) {
      onPullRequest(request, nowMs);
    } else if (message instanceof IntentPullReply reply) {
      onPullReply(reply, nowMs);
    }
  }

  /**
   * Lets time pass; to be called at least every 20 milliseconds.
   *
   * @param nowMs the current time in milliseconds
   */
  public void tick(long nowMs) {
    keeper.tick(nowMs);
    restartedAtMs.values().removeIf(atMs -> nowMs - atMs >= settings.retentionMs());
    catchUp.check(version, routerIds, settings.catchUpLimitMs(), nowMs);
    if (!catchUp.isReady() && nowMs - pulledAtMs >= settings.patienceMs()) {
      pull(nowMs);
    }
    new ArrayList<>(claims.values()).forEach(claim -> proceed(claim, nowMs));
  }

  /**
   * Tells whether this router answers as a keeper.
   *
   * @return false until it has caught up
   */
  public boolean isReady() {
    return catchUp.isReady();
  }

  /**
   * Returns how many operations this router remembers.
   *
   * @return their number
   */
  public int size() {
    return keeper.size();
  }

  private void changeRouters(List<RegisteredRouter> newRouters, List<RouterId> newIds, long nowMs) {
    for (RouterId earlier : routerIds) {
      if (!newIds.contains(earlier)) {
        keeper.onRouterLost(earlier, nowMs);
      }
    }
    routers = new RendezvousHash(newRouters);
    routerIds = newIds;
    routersDigest = KeyHasher.hash(newIds.toString());
    catchUp.start(self, routerIds, nowMs);
    pull(nowMs);
    catchUp.check(version, routerIds, settings.catchUpLimitMs(), nowMs);
  }

  private void pull(long nowMs) {
    pulledAtMs = nowMs;
    for (RouterId router : catchUp.silent()) {
      sink.send(router, new IntentPullRequest(cell, self, incarnation, version, catchUp.nonce()));
    }
  }

  private List<RouterId> keepersOf(OperationId operation) {
    return routers.pick(operation.hash(), KEEPERS);
  }

  private void proceed(Claim claim, long nowMs) {
    if (claim.ended) {
      return;
    }
    if (nowMs >= claim.deadlineMs || nowMs - claim.startedAtMs >= settings.patienceMs()) {
      refuse(claim, Verdict.MAY_HAVE_RUN, RefusalReason.INTENT_UNAVAILABLE, 0, nowMs);
      return;
    }
    if (claim.routersDigest != routersDigest) {
      claim.routersDigest = routersDigest;
      claim.keepers = keepersOf(claim.operation);
      claim.granted.clear();
      claim.askedAtMs.clear();
    }
    long askAgainMs = settings.patienceMs() / ASKS_PER_PATIENCE;
    boolean late = nowMs - claim.startedAtMs >= askAgainMs;
    int wanted = late ? claim.keepers.size() : Math.min(COPIES, claim.keepers.size());
    for (RouterId to : claim.keepers.subList(0, wanted)) {
      Long askedAtMs = claim.askedAtMs.get(to);
      boolean due = askedAtMs == null || nowMs - askedAtMs >= askAgainMs;
      if (due && !claim.ended && !claim.granted.contains(to)) {
        claim.askedAtMs.put(to, nowMs);
        ask(claim, to, nowMs);
      }
    }
  }

  private void ask(Claim claim, RouterId to, long nowMs) {
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

  /** Answers a claim whose sender has the same registered routers. */
  private IntentClaimReply answer(IntentClaimRequest request, long nowMs) {
    boolean sameRouters = request.routersDigest() == routersDigest;
    IntentAnswer answer =
        sameRouters && catchUp.isReady()
            ? keeper.claim(
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
        settings.patienceMs(),
        request.routersDigest());
  }

  private void onClaimReply(IntentClaimReply reply, long nowMs) {
    Claim claim = claims.get(reply.request());
    if (claim == null || claim.ended || reply.routersDigest() != claim.routersDigest) {
      return;
    }
    switch (reply.answer()) {
      case GRANTED -> onGranted(claim, reply.keeper());
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
        // Not ready: asked again, and the third keeper too, until patience ends.
      }
    }
  }

  private void onGranted(Claim claim, RouterId by) {
    claim.granted.add(by);
    if (claim.granted.size() >= Math.min(COPIES, claim.keepers.size())) {
      claim.ended = true;
      claims.remove(claim.request);
      sink.granted(claim.request);
    }
  }

  /** Ends a claim; keepers that granted it are told that its request did not run. */
  private void refuse(
      Claim claim, Verdict earlier, RefusalReason reason, long retryAfterMs, long nowMs) {
    settle(claim.operation, claim.request, Verdict.NOT_RUN, nowMs);
    long afterMs =
        reason == RefusalReason.INTENT_UNAVAILABLE ? settings.patienceMs() : retryAfterMs;
    sink.refused(claim.request, earlier, reason, afterMs);
  }

  private void onPullRequest(IntentPullRequest request, long nowMs) {
    if (request.version().isNewerThan(version)) {
      pullsDue.put(request.router(), request);
      return;
    }
    noteRun(request.router(), request.incarnation(), nowMs);
    List<IntentEntry> wanted = new ArrayList<>();
    keeper.forEach(
        nowMs,
        entry -> {
          if (routers.isPicked(request.router(), entry.operation().hash(), KEEPERS)) {
            wanted.add(entry);
          }
        });
    int from = 0;
    do {
      int to = Math.min(wanted.size(), from + ENTRIES_PER_MESSAGE);
      boolean last = to == wanted.size();
      sink.send(
          request.router(),
          new IntentPullReply(
              cell,
              self,
              incarnation,
              version,
              request.nonce(),
              catchUp.completeVersion(),
              catchUp.completeRouters(),
              List.copyOf(wanted.subList(from, to)),
              last,
              List.copyOf(restartedAtMs.keySet())));
      from = to;
    } while (from < wanted.size());
  }

  private void onPullReply(IntentPullReply reply, long nowMs) {
    reply.entries().forEach(entry -> keeper.merge(entry, nowMs));
    if (reply.nonce() == catchUp.nonce() && reply.last()) {
      catchUp.onReply(reply);
      catchUp.check(version, routerIds, settings.catchUpLimitMs(), nowMs);
    }
  }

  /** Notes the run of a router; a new one knows nothing of the requests of the last. */
  private void noteRun(RouterId router, Incarnation run, long nowMs) {
    Incarnation earlier = runs.put(router, run);
    if (earlier != null && !earlier.equals(run)) {
      keeper.onRouterLost(router, nowMs);
      restartedAtMs.put(router, nowMs);
    }
  }
}
