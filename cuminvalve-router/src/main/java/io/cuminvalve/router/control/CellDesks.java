package io.cuminvalve.router.control;

import io.cuminvalve.core.admission.AdmissionCoordinator;
import io.cuminvalve.core.admission.AdmissionSettings;
import io.cuminvalve.core.admission.AdmissionSink;
import io.cuminvalve.core.hotkey.LoadMeter;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.intent.IntentCoordinator;
import io.cuminvalve.core.intent.IntentSettings;
import io.cuminvalve.core.intent.IntentSink;
import io.cuminvalve.core.intent.OperationId;
import io.cuminvalve.core.inventory.Instance;
import io.cuminvalve.core.protocol.LoadReport;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.request.SlotUse;
import io.cuminvalve.core.retry.RetrySettings;
import io.cuminvalve.core.retry.TargetCircuitBreakers;
import io.cuminvalve.core.table.KeyHasher;
import io.cuminvalve.core.table.RegisteredRouter;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.core.verdict.RefusalReason;
import io.cuminvalve.core.verdict.Verdict;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.router.request.IntentClaims;
import io.cuminvalve.router.request.IntentListener;
import io.cuminvalve.router.request.RequestContext;
import io.cuminvalve.router.request.Slot;
import io.cuminvalve.router.request.SlotListener;
import io.cuminvalve.router.request.SlotTicket;
import io.cuminvalve.wire.PeerNetwork;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;

/**
 * The admission and the intents of one cell, shared by traffic threads and the control thread.
 *
 * <p>One lock serialises all calls of both desks. Listeners are never called under it: the answer
 * to a call's own request is given by that call, every other one by the executor, since a traffic
 * thread may hold the lock of one request but must not wait for that of another.
 *
 * @since 0.1
 */
public final class CellDesks implements IntentClaims {

  private final AdmissionCoordinator admission;
  private final IntentCoordinator intents;
  private final TargetCircuitBreakers circuits = new TargetCircuitBreakers(RetrySettings.DEFAULT);
  private final PeerNetwork network;
  private final Executor executor;
  private final MillisClock clock;
  private final Object lock = new Object();
  private final Map<Long, Permit> permits = new HashMap<>();
  private final Map<RequestId, IntentListener> claims = new HashMap<>();
  private final Map<RouterId, String> addresses = new HashMap<>();
  private final Map<String, RouterId> routers = new HashMap<>();
  private final CellId cell;
  private final RouterId self;
  private LoadMeter meter;
  private List<Answer> answers = new ArrayList<>();
  private long lastPermit;

  /**
   * Creates the desks of a router that has no table yet.
   *
   * @param cell the cell; not null
   * @param self this router; not null
   * @param incarnation its current run; not null
   * @param network carries messages; not null
   * @param executor gives answers to waiting requests; not null
   * @param clock this router's clock; not null
   */
  public CellDesks(
      CellId cell,
      RouterId self,
      Incarnation incarnation,
      PeerNetwork network,
      Executor executor,
      MillisClock clock) {
    this.cell = cell;
    this.self = self;
    this.network = network;
    this.executor = executor;
    this.clock = clock;
    this.admission =
        new AdmissionCoordinator(
            cell, self, incarnation, AdmissionSettings.DEFAULT, new Admissions());
    this.intents =
        new IntentCoordinator(cell, self, incarnation, IntentSettings.DEFAULT, new Intents());
  }

  /**
   * Prepares a request for a slot of a target.
   *
   * @param request the request; not null
   * @param slot the target and the shard; not null
   * @param listener hears the answer; not null
   * @return asks once it is started
   */
  Permit prepare(RequestContext request, Slot slot, SlotListener listener) {
    return new Permit(request, slot, listener);
  }

  @Override
  public void claim(RequestContext request, IntentListener listener) {
    List<Answer> after;
    synchronized (lock) {
      claims.put(request.id(), listener);
      intents.claim(operationOf(request), request.id(), request.deadlineMs(), clock.nowMs());
      after = takeAnswers();
    }
    deliver(after, listener);
  }

  @Override
  public void settle(RequestContext request, Verdict verdict) {
    locked(
        () -> {
          claims.remove(request.id());
          intents.settle(operationOf(request), request.id(), verdict, clock.nowMs());
        });
  }

  /** Takes the targets of the cell. */
  void onTargets(List<Instance> instances) {
    locked(
        () -> {
          circuits.onTargets(instances.size());
          admission.onTargets(instances, clock.nowMs());
        });
  }

  /** Takes a table that was installed. */
  void onTable(ShardTable table) {
    locked(
        () -> {
          if (meter == null) {
            meter = new LoadMeter(cell, self, table.shardCount(), clock.nowMs());
          }
          addresses.clear();
          routers.clear();
          for (RegisteredRouter router : table.routers()) {
            addresses.put(router.id(), router.peerAddress());
            routers.put(router.peerAddress(), router.id());
          }
          admission.onTable(table.version(), table.routers(), clock.nowMs());
          intents.onTable(table.version(), table.routers(), clock.nowMs());
        });
  }

  /** Takes a message; those that are not about slots or intents are ignored. */
  void onMessage(PeerMessage message, String fromPeerAddress) {
    locked(
        () -> {
          RouterId from = routers.get(fromPeerAddress);
          if (from != null) {
            admission.onMessage(message, from, clock.nowMs());
            intents.onMessage(message, from, clock.nowMs());
          }
        });
  }

  /** Lets time pass. */
  void onTick() {
    locked(
        () -> {
          admission.tick(clock.nowMs());
          intents.tick(clock.nowMs());
        });
  }

  /** Returns the load since the last report; empty until there is a table. */
  Optional<LoadReport> loadReport() {
    synchronized (lock) {
      return Optional.ofNullable(meter).map(known -> known.report(clock.nowMs()));
    }
  }

  /** Takes no further slots: the router is about to leave. */
  void close() {
    locked(admission::close);
  }

  private static OperationId operationOf(RequestContext request) {
    return new OperationId(request.tenant(), request.idempotencyKey());
  }

  private void locked(Runnable action) {
    List<Answer> after;
    synchronized (lock) {
      action.run();
      after = takeAnswers();
    }
    deliver(after, null);
  }

  private List<Answer> takeAnswers() {
    if (answers.isEmpty()) {
      return List.of();
    }
    List<Answer> taken = answers;
    answers = new ArrayList<>();
    return taken;
  }

  private void deliver(List<Answer> given, Object own) {
    for (Answer answer : given) {
      if (answer.receiver() == own) {
        answer.task().run();
      } else {
        executor.execute(answer.task());
      }
    }
  }

  private void send(RouterId to, PeerMessage message) {
    String address = addresses.get(to);
    if (address != null) {
      network.send(address, message);
    }
  }

  /**
   * What a request hears.
   *
   * @param receiver who asked
   * @param task tells it
   */
  private record Answer(Object receiver, Runnable task) {}

  /** Effects of the admission desk; called under the lock. */
  private final class Admissions implements AdmissionSink {

    @Override
    public void granted(long number) {
      Permit permit = permits.get(number);
      permit.granted = true;
      permit.grantedAtMs = clock.nowMs();
      answers.add(new Answer(permit, permit::tellGranted));
    }

    @Override
    public void refused(long number, RefusalReason reason, long retryAfterMs) {
      Permit permit = permits.remove(number);
      if (permit != null) {
        permit.refuse(reason, retryAfterMs);
      }
    }

    @Override
    public void send(RouterId to, PeerMessage message) {
      CellDesks.this.send(to, message);
    }
  }

  /** Effects of the intent desk; called under the lock. */
  private final class Intents implements IntentSink {

    @Override
    public void granted(RequestId request) {
      IntentListener listener = claims.remove(request);
      if (listener != null) {
        answers.add(new Answer(listener, listener::onGranted));
      }
    }

    @Override
    public void refused(
        RequestId request, Verdict earlier, RefusalReason reason, long retryAfterMs) {
      IntentListener listener = claims.remove(request);
      if (listener != null) {
        answers.add(new Answer(listener, () -> listener.onRefused(earlier, reason, retryAfterMs)));
      }
    }

    @Override
    public void send(RouterId to, PeerMessage message) {
      CellDesks.this.send(to, message);
    }
  }

  /** One request for a slot. Its fields are guarded by the lock. */
  final class Permit implements SlotTicket {

    private final RequestContext request;
    private final Slot slot;
    private final SlotListener listener;
    private long number;
    private boolean withdrawn;
    private boolean granted;
    private long grantedAtMs;

    Permit(RequestContext request, Slot slot, SlotListener listener) {
      this.request = request;
      this.slot = slot;
      this.listener = listener;
    }

    /** Asks for the slot; the listener may hear the answer before this method returns. */
    void start() {
      List<Answer> after;
      synchronized (lock) {
        if (!withdrawn) {
          ask();
        }
        after = takeAnswers();
      }
      deliver(after, this);
    }

    private void ask() {
      TargetId target = slot.target().id();
      long waitMs = circuits.waitMs(target, clock.nowMs());
      if (waitMs > 0) {
        refuse(RefusalReason.CIRCUIT_OPEN, waitMs);
        return;
      }
      lastPermit++;
      number = lastPermit;
      permits.put(number, this);
      admission.admit(
          number,
          target,
          request.tenant(),
          request.rule().requestClass(),
          request.deadlineMs(),
          clock.nowMs());
    }

    private void recordLoad(long heldMs) {
      if (meter != null) {
        // Counts the slot's time; a request below a millisecond still is one.
        meter.record(KeyHasher.hash(request.key()), slot.shard(), Math.max(1, heldMs));
      }
    }

    void refuse(RefusalReason reason, long retryAfterMs) {
      answers.add(new Answer(this, () -> listener.onRefused(reason, retryAfterMs)));
    }

    void tellGranted() {
      listener.onAdmitted(slot);
    }

    /** A grant that is on its way to the listener is returned with its slot unused. */
    @Override
    public void withdraw() {
      locked(
          () -> {
            withdrawn = true;
            if (granted) {
              giveBack(SlotUse.UNUSED);
            } else if (permits.remove(number) != null) {
              admission.withdraw(number, slot.target().id(), clock.nowMs());
            }
          });
    }

    @Override
    public void release(SlotUse use) {
      locked(() -> giveBack(use));
    }

    private void giveBack(SlotUse use) {
      if (permits.remove(number) != null) {
        long nowMs = clock.nowMs();
        circuits.onAttempt(slot.target().id(), use, nowMs);
        recordLoad(nowMs - grantedAtMs);
        admission.release(number, slot.target().id(), use, nowMs - grantedAtMs, nowMs);
      }
    }
  }
}
