package io.cuminvalve.core.stop;

import io.cuminvalve.core.fleet.RelayPeer;
import io.cuminvalve.core.id.DataCentreId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * A model on virtual time of one zone whose gateways are stopped and started once each, while
 * callers with open and with new connections send requests to slow targets.
 *
 * <p>The platform takes a gateway out after two failed checks a second apart, and uses all of them
 * if fewer than half are left. Only first tries are modelled.
 */
final class StoppingFleet {

  /** What a gateway does with requests that come after its notice. */
  enum Way {
    /** It takes them all until it ends. */
    TAKE_ALL,
    /** It does not listen any more. */
    CLOSE_LISTENER,
    /** It takes those that end before the stop, and refuses the others. */
    REFUSE_LATE,
    /** It refuses them all. */
    REFUSE_ALL,
    /** It takes those that end before the stop, and hands the others over to a ready gateway. */
    HAND_OVER,
    /** It does that, and goes on listening until others take over. */
    HAND_OVER_AND_LISTEN
  }

  /** Counts of first tries; a refusal comes at once; targets have ended unfinished ones. */
  record Result(int tries, int served, int refused, int unconnected, int cut, int unfinished) {

    Result plus(Result other) {
      return new Result(
          tries + other.tries,
          served + other.served,
          refused + other.refused,
          unconnected + other.unconnected,
          cut + other.cut,
          unfinished + other.unfinished);
    }
  }

  private static final StopPolicy POLICY = new StopPolicy(2_300, 5_600);
  private static final DataCentreId ZONE = new DataCentreId("zone");
  private static final int GATEWAYS = 3;
  private static final int CALLERS = 60;
  private static final int TICK_MS = 10;
  private static final long DAY_MS = 30_000;
  private static final long FIRST_STOP_MS = 2_000;
  private static final long OBJECTIVE_MS = 400;
  private static final long START_MS = 1_500;
  private static final long CHECK_MS = 1_000;

  private final Way way;
  private final long maxWorkMs;
  private final SplittableRandom random;
  private final List<Gateway> gateways = new ArrayList<>();
  private final ReadyPeers ready = new ReadyPeers();
  private final int[] connections = new int[CALLERS];
  private final long[] nextRequestMs = new long[CALLERS];
  private long nowMs;
  private int tries;
  private int served;
  private int refused;
  private int unconnected;
  private int cut;
  private int unfinished;

  StoppingFleet(Way way, long maxWorkMs, long stopIntervalMs, long seed) {
    this.way = way;
    this.maxWorkMs = maxWorkMs;
    this.random = new SplittableRandom(seed);
    for (int i = 0; i < GATEWAYS; i++) {
      gateways.add(new Gateway(FIRST_STOP_MS + i * stopIntervalMs, random.nextLong(CHECK_MS)));
    }
    for (int i = 0; i < CALLERS; i++) {
      connections[i] = -1;
      nextRequestMs[i] = random.nextLong(500);
    }
  }

  Result run() {
    while (nowMs < DAY_MS) {
      gateways.forEach(Gateway::tick);
      ready.onTold(gateways.stream().filter(Gateway::isReady).map(Gateway::asPeer).toList(), nowMs);
      for (int caller = 0; caller < CALLERS; caller++) {
        if (nextRequestMs[caller] <= nowMs) {
          // Drawn in the same number for each way, so that all ways get the same requests.
          send(caller, random.split());
          nextRequestMs[caller] = nowMs + 1_500 + random.nextLong(1_000);
        }
      }
      nowMs += TICK_MS;
    }
    return new Result(tries, served, refused, unconnected, cut, unfinished);
  }

  private void send(int caller, SplittableRandom drawn) {
    tries++;
    boolean keeps = caller % 2 == 0;
    int index = keeps && connections[caller] >= 0 ? connections[caller] : select(drawn);
    long timeLimitMs = 1_500 + drawn.nextLong(1_500);
    long workMs = 10 + drawn.nextLong(maxWorkMs);
    boolean open = gateways.get(index).take(new Work(caller, nowMs + workMs), timeLimitMs);
    connections[caller] = keeps && open ? index : -1;
  }

  private int select(SplittableRandom drawn) {
    int[] chosen = IntStream.range(0, GATEWAYS).filter(i -> gateways.get(i).inRotation).toArray();
    if (chosen.length * 2 < GATEWAYS) {
      chosen = IntStream.range(0, GATEWAYS).toArray();
    }
    return chosen[drawn.nextInt(chosen.length)];
  }

  private record Work(int caller, long endMs) {}

  /** A gateway that is stopped once and started again. */
  private final class Gateway {

    private final long stopMs;
    private final long checkOffsetMs;
    private final List<Work> inProgress = new ArrayList<>();
    private boolean inRotation = true;
    private int misses;
    private long endedMs = -1;
    private Optional<ZoneSuccession> succession = Optional.empty();

    Gateway(long stopMs, long checkOffsetMs) {
      this.stopMs = stopMs;
      this.checkOffsetMs = checkOffsetMs;
    }

    private boolean isUp() {
      return endedMs < 0 || nowMs >= endedMs + START_MS;
    }

    private boolean isStopping() {
      return nowMs >= stopMs && endedMs < 0;
    }

    private boolean isNoticeOver() {
      return isStopping() && POLICY.isNoticeOver(nowMs - stopMs);
    }

    private boolean isReady() {
      return isUp() && !isStopping();
    }

    private boolean isTakenOver() {
      return way != Way.HAND_OVER_AND_LISTEN
          || succession.orElseThrow().isTakenOver(Optional.of(readyPeers()));
    }

    void tick() {
      if (isStopping() && succession.isEmpty()) {
        succession =
            Optional.of(
                new ZoneSuccession(
                    address(),
                    ZONE,
                    ready.since(nowMs - ReadyPeers.RESTART_MS),
                    ready.since(nowMs - POLICY.noticeMs())));
      }
      long servedBefore = inProgress.size();
      inProgress.removeIf(work -> work.endMs() <= nowMs && closeIfStopping(work));
      served += (int) (servedBefore - inProgress.size());
      boolean idle = inProgress.isEmpty() && isNoticeOver() && isTakenOver();
      if (isStopping() && (idle || nowMs - stopMs >= POLICY.requestsEndMs())) {
        end();
      }
      if (nowMs % CHECK_MS / TICK_MS == checkOffsetMs / TICK_MS) {
        check();
      }
    }

    /** The response closes the connection. */
    private boolean closeIfStopping(Work work) {
      if (isStopping()) {
        connections[work.caller()] = -1;
      }
      return true;
    }

    private void end() {
      cut += inProgress.size();
      inProgress.clear();
      endedMs = nowMs;
      int self = gateways.indexOf(this);
      for (int caller = 0; caller < CALLERS; caller++) {
        connections[caller] = connections[caller] == self ? -1 : connections[caller];
      }
    }

    private void check() {
      boolean ready = isReady();
      misses = ready ? 0 : misses + 1;
      inRotation = ready || (inRotation && misses < 2);
    }

    private boolean isHandingOver() {
      return way == Way.HAND_OVER || way == Way.HAND_OVER_AND_LISTEN;
    }

    /** Has a ready gateway send the request. Returns whether its connection stays open. */
    private boolean handOver(Work work, long timeLimitMs) {
      long sinceStopMs = nowMs - stopMs;
      StopPolicy.Treatment treatment =
          POLICY.treat(
              sinceStopMs, sinceStopMs + timeLimitMs, OBJECTIVE_MS, !readyPeers().isEmpty());
      boolean fits = work.endMs() <= stopMs + POLICY.workEndMs();
      if (treatment == StopPolicy.Treatment.REFUSE) {
        refused++;
      } else if (fits) {
        inProgress.add(work);
      } else {
        unfinished++;
      }
      return treatment != StopPolicy.Treatment.REFUSE && fits;
    }

    private String address() {
      return String.valueOf(gateways.indexOf(this));
    }

    private RelayPeer asPeer() {
      return new RelayPeer(address(), ZONE);
    }

    private List<RelayPeer> readyPeers() {
      return gateways.stream()
          .filter(other -> other != this && other.isReady())
          .map(Gateway::asPeer)
          .toList();
    }

    /** Takes or refuses a request. Returns whether its connection stays open. */
    boolean take(Work work, long timeLimitMs) {
      if (!isUp() || (isNoticeOver() && way == Way.CLOSE_LISTENER)) {
        unconnected++;
        return false;
      }
      long sinceStopMs = nowMs - stopMs;
      boolean late = isStopping() && !POLICY.admits(sinceStopMs, sinceStopMs + timeLimitMs);
      boolean refuses = way == Way.REFUSE_ALL ? isNoticeOver() : way == Way.REFUSE_LATE && late;
      if (refuses) {
        refused++;
        return false;
      }
      if (late && isHandingOver()) {
        return handOver(work, timeLimitMs);
      }
      inProgress.add(work);
      return true;
    }
  }
}
