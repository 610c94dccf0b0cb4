package io.cuminvalve.core.authority;

import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.HeartbeatReply;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.protocol.TargetObservation;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.core.table.TableVersion;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A router process around the real cell, with traffic to every shard. */
final class FakeRouter extends FakeProcess {

  private static final int TICK_MS = 10;
  private static final int PROBE_MS = 100;

  final RouterId id;
  private final World world;
  private final DataCentreId dataCentre;
  private final FakeClock clock;
  private final Map<TargetId, Seen> targets = new HashMap<>();
  final double[] servedAtMs;
  private final List<Gap> gaps = new ArrayList<>();
  private long served;
  private RouterCell cell;
  private TableVersion installed = TableVersion.NONE;
  private TableVersion acknowledged = TableVersion.NONE;
  private boolean stopped;
  private boolean idle;
  private int nextShard;

  FakeRouter(World world, String name, DataCentreId dataCentre, FakeClock clock) {
    super(world.time, name);
    this.id = new RouterId(name);
    this.world = world;
    this.dataCentre = dataCentre;
    this.clock = clock;
    this.servedAtMs = new double[World.SHARDS];
  }

  @Override
  void start() {
    Incarnation incarnation = new Incarnation(time.random().nextLong(1, Long.MAX_VALUE / 2));
    cell =
        new RouterCell(
            id,
            incarnation,
            dataCentre,
            address,
            World.CELL,
            world.options.timings(),
            world.options.rules());
    installed = TableVersion.NONE;
    acknowledged = TableVersion.NONE;
    stopped = false;
    targets.clear();
    later(time.between(0, TICK_MS), this::tick);
    later(time.between(0, world.options.trafficMs()), this::sendTraffic);
  }

  RouterCell cell() {
    return cell;
  }

  boolean isStopped() {
    return stopped;
  }

  /** Returns how many requests were run. */
  long served() {
    return served;
  }

  /** Returns the longest time without a run of some shard, of those that began later or last. */
  double longestGapSince(double startMs) {
    double longestMs = 0;
    for (double lastMs : servedAtMs) {
      longestMs = Math.max(longestMs, time.nowMs() - lastMs);
    }
    for (Gap gap : gaps) {
      if (gap.fromMs >= startMs) {
        longestMs = Math.max(longestMs, gap.toMs - gap.fromMs);
      }
    }
    return longestMs;
  }

  /** An idle router sends no requests, only probes. */
  void setIdle(boolean isIdle) {
    idle = isIdle;
  }

  void requestStop() {
    execute(() -> handle(cell.onStopRequested(clock.nowMs())));
  }

  void onMessage(PeerMessage message, String from) {
    handle(cell.onMessage(message, from, clock.nowMs()));
  }

  private void tick() {
    for (TargetId target : world.targets.keySet()) {
      Seen seen = targets.computeIfAbsent(target, name -> new Seen());
      long nowMs = clock.nowMs();
      if (nowMs - seen.probedAtMs >= PROBE_MS && nowMs - seen.answeredAtMs >= PROBE_MS) {
        seen.probedAtMs = nowMs;
        probe(target, seen);
      }
      cell.onObservation(seen.observe(target, nowMs));
    }
    handle(cell.onTick(clock.nowMs()));
    later(TICK_MS, this::tick);
  }

  private void handle(List<RouterEffect> effects) {
    for (RouterEffect effect : effects) {
      if (effect instanceof RouterEffect.SendToPeer send) {
        noteAcknowledgement(send.message());
        world.sendPeer(address, send.peerAddress(), send.message());
      } else if (effect instanceof RouterEffect.FindHolder) {
        world.findHolder(this, found -> handle(cell.onHolderAddress(found, clock.nowMs())));
      } else if (effect instanceof RouterEffect.ViewChanged changed) {
        onView(changed.view());
      } else if (effect instanceof RouterEffect.Stopped) {
        stopped = true;
        kill();
        return;
      }
    }
  }

  private void noteAcknowledgement(PeerMessage message) {
    if (message instanceof HeartbeatReply reply && reply.version().isNewerThan(acknowledged)) {
      acknowledged = reply.version();
      world.onAcknowledged.accept(this);
    }
  }

  private void onView(RoutingView view) {
    if (!view.hasTable()) {
      return;
    }
    ShardTable table = view.table();
    world.invariants.onInstalled(address, installed, table.version(), world.writtenLast());
    installed = table.version();
    for (int shard = 0; shard < table.shardCount(); shard++) {
      if (view.isOpen(shard) && table.owner(shard) != ShardTable.NO_TARGET) {
        TargetId owner = table.targets().get(table.owner(shard));
        world.invariants.onOpen(owner, shard, table.token(shard));
      }
    }
  }

  private void sendTraffic() {
    later(world.options.trafficMs(), this::sendTraffic);
    RoutingView view = cell.gate().view();
    if (!view.hasTable() || idle) {
      return;
    }
    nextShard = (nextShard + 1) % World.SHARDS;
    int shard = nextShard;
    ShardTable table = view.table();
    if (table.owner(shard) == ShardTable.NO_TARGET) {
      return;
    }
    TargetId owner = table.targets().get(table.owner(shard));
    Seen seen = targets.get(owner);
    if (seen == null || seen.clock == null) {
      return;
    }
    long nowMs = clock.nowMs();
    long expiryMs = cell.gate().issueExpiryMs(view, shard, seen.clock, nowMs);
    if (expiryMs == DispatchGate.NOT_ISSUED) {
      return;
    }
    world.invariants.onDispatch(address, owner, shard, table.token(shard));
    FakeTarget.Request request =
        new FakeTarget.Request(
            address, shard, table.token(shard), expiryMs, seen.clock.incarnation());
    send(owner, seen, request);
  }

  private void send(TargetId owner, Seen seen, FakeTarget.Request request) {
    FakeTarget target = world.targets.get(owner);
    double sentAtMs = seen.onSent(clock.nowMs());
    double stallMs = time.chance(world.options.stall()) ? time.between(10, 2_500) : 0;
    Runnable toTarget =
        () ->
            world.sendTarget(
                address,
                target,
                () -> target.onRequest(request, answer -> reply(target, seen, answer, request)),
                () -> execute(() -> seen.onRefused((long) sentAtMs)));
    time.after(stallMs, toTarget);
  }

  private void reply(
      FakeTarget target, Seen seen, FakeTarget.Answer answer, FakeTarget.Request request) {
    world.network.send(
        target.address,
        address,
        () -> {
          seen.onAnswer(answer.incarnation(), answer.clockMs(), clock.nowMs());
          if (answer.ran()) {
            onServed(request.shard());
          }
        });
  }

  private void onServed(int shard) {
    served++;
    gaps.add(new Gap(servedAtMs[shard], time.nowMs()));
    servedAtMs[shard] = time.nowMs();
  }

  private void probe(TargetId name, Seen seen) {
    FakeTarget target = world.targets.get(name);
    long sentAtMs = seen.onSent(clock.nowMs());
    world.sendTarget(
        address,
        target,
        () -> {
          Incarnation incarnation = target.incarnation();
          long clockMs = target.clockMs();
          world.network.send(
              target.address, address, () -> seen.onAnswer(incarnation, clockMs, clock.nowMs()));
        },
        () -> execute(() -> seen.onRefused(sentAtMs)));
  }

  private record Gap(double fromMs, double toMs) {}

  /** What this router saw of one target. */
  private static final class Seen {
    private final Deque<Long> unanswered = new ArrayDeque<>();
    private GrantClock clock;
    private long answeredAtMs = Long.MIN_VALUE / 2;
    private long probedAtMs = Long.MIN_VALUE / 2;
    private boolean refused;

    long onSent(long nowMs) {
      unanswered.addLast(nowMs);
      return nowMs;
    }

    void onAnswer(Incarnation incarnation, long clockMs, long nowMs) {
      clock = new GrantClock(incarnation, clockMs, nowMs);
      answeredAtMs = nowMs;
      refused = false;
      unanswered.clear();
    }

    void onRefused(long sentAtMs) {
      refused = sentAtMs >= answeredAtMs;
      unanswered.remove(sentAtMs);
    }

    TargetObservation observe(TargetId target, long nowMs) {
      long unansweredMs = unanswered.isEmpty() ? 0 : nowMs - unanswered.peekFirst();
      Incarnation incarnation = clock == null ? Incarnation.UNKNOWN : clock.incarnation();
      return new TargetObservation(
          target, incarnation, nowMs - answeredAtMs, unansweredMs, refused, unanswered.size());
    }
  }
}
