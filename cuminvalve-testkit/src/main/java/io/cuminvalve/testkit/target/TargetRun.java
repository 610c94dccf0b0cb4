package io.cuminvalve.testkit.target;

import io.cuminvalve.core.inventory.GrantCapability;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.testkit.http.Exchange;
import io.cuminvalve.testkit.ledger.ExecutionRecord;
import io.cuminvalve.testkit.ledger.GrantRecord;
import io.cuminvalve.testkit.ledger.Ledger;
import io.cuminvalve.testkit.time.TaskScheduler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The memory of one run of a target: grants, running and queued work. Thread-safe. */
final class TargetRun {

  private static final int COLD_FACTOR = 4;
  private static final int STATUS_CANCELLED = 499;

  private record Drain(Set<Integer> shards, Runnable done) {
    boolean concerns(WorkItem item) {
      return shards.contains(item.shard);
    }
  }

  private final TargetSettings settings;
  private final MillisClock clock;
  private final TaskScheduler scheduler;
  private final Ledger ledger;
  private final TargetFaults faults;
  private final long incarnation;
  private final long startedMs;
  private final GrantBook grants = new GrantBook();
  private final Deque<WorkItem> queue = new ArrayDeque<>();
  private final Set<WorkItem> running = new HashSet<>();
  private final Map<Refusal, Long> refusals = new HashMap<>();
  private final List<Drain> drains = new ArrayList<>();
  private long drainStartedMs = -1;
  private int peakRunning;
  private boolean frozen;
  private boolean dead;
  private final List<Runnable> parked = new ArrayList<>();

  TargetRun(
      TargetSettings settings,
      MillisClock clock,
      TaskScheduler scheduler,
      Ledger ledger,
      TargetFaults faults,
      long incarnation) {
    this.settings = settings;
    this.clock = clock;
    this.scheduler = scheduler;
    this.ledger = ledger;
    this.faults = faults;
    this.incarnation = incarnation;
    this.startedMs = clock.nowMs();
  }

  /** Runs an action under the lock: at once, after the thaw if frozen, never if dead. */
  synchronized void act(Runnable action) {
    if (dead) {
      return;
    }
    if (frozen) {
      parked.add(action);
    } else {
      action.run();
    }
  }

  synchronized void freeze() {
    frozen = true;
  }

  synchronized void thaw() {
    frozen = false;
    List<Runnable> due = new ArrayList<>(parked);
    parked.clear();
    due.forEach(Runnable::run);
  }

  synchronized void die() {
    dead = true;
  }

  synchronized void startDraining() {
    if (drainStartedMs < 0) {
      drainStartedMs = clock.nowMs();
    }
  }

  synchronized TargetReport report() {
    return new TargetReport(
        incarnation,
        running.size(),
        queue.size(),
        peakRunning,
        grants.size(),
        Map.copyOf(refusals));
  }

  /** Takes grants one by one; returns the first shard that is refused. */
  Optional<Integer> grant(int[] shards, long[] tokens) {
    for (int i = 0; i < shards.length; i++) {
      if (!accept(shards[i], tokens[i])) {
        return Optional.of(shards[i]);
      }
      ledger.granted(
          new GrantRecord(
              settings.service(), shards[i], tokens[i], settings.id(), System.nanoTime()));
    }
    return Optional.empty();
  }

  private boolean accept(int shard, long token) {
    if (checksTokens()) {
      return grants.grant(shard, token);
    }
    grants.forceGrant(shard, token);
    return true;
  }

  long highestToken(int shard) {
    return grants.highest(shard);
  }

  /** Revokes grants; calls back once nothing runs on the shards, or at once without drain. */
  void revoke(int[] shards, long[] tokens, boolean drain, Runnable done) {
    Set<Integer> closed = new HashSet<>();
    for (int i = 0; i < shards.length; i++) {
      grants.revoke(shards[i], tokens[i]);
      closed.add(shards[i]);
    }
    if (!drain) {
      done.run();
      return;
    }
    drains.add(new Drain(closed, done));
    finishDrains();
  }

  private void finishDrains() {
    List<Drain> finished =
        drains.stream().filter(drain -> running.stream().noneMatch(drain::concerns)).toList();
    drains.removeAll(finished);
    finished.forEach(drain -> drain.done().run());
  }

  void cancel(String requestId) {
    for (WorkItem item : queue) {
      if (item.requestId.equals(requestId)) {
        item.cancelled = true;
      }
    }
    running.stream()
        .filter(item -> item.requestId.equals(requestId))
        .findFirst()
        .ifPresent(
            item -> {
              item.cancelled = true;
              finish(item);
            });
  }

  void submit(Exchange exchange) {
    WorkItem item = new WorkItem(exchange, clock.nowMs());
    Optional<Refusal> refusal = check(item);
    if (refusal.isPresent()) {
      refuse(item, refusal.get());
    } else if (running.size() < settings.slots()) {
      start(item);
    } else if (queue.size() < settings.queueLength()) {
      queue.add(item);
    } else {
      refuse(item, Refusal.OVERLOADED);
    }
  }

  private boolean checksTokens() {
    return settings.capability() != GrantCapability.CHECKS_NOTHING;
  }

  private Optional<Refusal> check(WorkItem item) {
    if (faults.isRefusingWhileDraining() && drainStartedMs >= 0) {
      return Optional.of(Refusal.DRAINING);
    }
    if (clock.nowMs() > item.deadlineMs) {
      return Optional.of(Refusal.EXPIRED);
    }
    return checksTokens() ? checkGrant(item) : Optional.empty();
  }

  private Optional<Refusal> checkGrant(WorkItem item) {
    if (item.expectedIncarnation != 0 && item.expectedIncarnation != incarnation) {
      return Optional.of(Refusal.WRONG_INCARNATION);
    }
    if (item.token < grants.highest(item.shard)) {
      return Optional.of(Refusal.STALE_TOKEN);
    }
    if (!grants.isGranted(item.shard, item.token)) {
      return Optional.of(Refusal.NOT_OWNER);
    }
    boolean checksExpiry = settings.capability() == GrantCapability.CHECKS_TOKEN_AND_EXPIRY;
    if (checksExpiry && clock.nowMs() > item.expiryMs) {
      return Optional.of(Refusal.EXPIRED);
    }
    return Optional.empty();
  }

  private void refuse(WorkItem item, Refusal refusal) {
    refusals.merge(refusal, 1L, Long::sum);
    item.exchange.put(TargetHeaders.REFUSAL, refusal).answer(503);
  }

  private void start(WorkItem item) {
    running.add(item);
    peakRunning = Math.max(peakRunning, running.size());
    long nowMs = clock.nowMs();
    ledger.executed(
        new ExecutionRecord(
            item.operation,
            item.repeatable,
            settings.service(),
            item.shard,
            item.token,
            settings.id(),
            grants.isGranted(item.shard, item.token),
            drainStartedMs < 0 ? -1 : nowMs - drainStartedMs,
            System.nanoTime()));
    scheduler.schedule(workMs(nowMs), () -> act(() -> finish(item)));
  }

  private long workMs(long nowMs) {
    long workMs = settings.workMs() + faults.getExtraWorkMs();
    return isCold(nowMs) ? workMs * COLD_FACTOR : workMs;
  }

  private boolean isCold(long nowMs) {
    return nowMs - startedMs < settings.coldMs();
  }

  private void finish(WorkItem item) {
    if (!running.remove(item)) {
      return;
    }
    answer(item);
    finishDrains();
    startNext();
  }

  private void startNext() {
    while (running.size() < settings.slots() && !queue.isEmpty()) {
      WorkItem next = queue.poll();
      Optional<Refusal> refusal = check(next);
      if (next.cancelled) {
        next.exchange.answer(STATUS_CANCELLED);
      } else if (refusal.isPresent()) {
        refuse(next, refusal.get());
      } else {
        start(next);
      }
    }
  }

  private void answer(WorkItem item) {
    Exchange exchange = item.exchange;
    exchange.put(TargetHeaders.OPERATION, item.operation);
    exchange.put("Content-Type", "text/plain");
    byte[] content = content(item);
    if (faults.isAnswersDropped()) {
      exchange.drop();
    } else if (faults.isAnswersCut()) {
      exchange.answerCut(200, content);
    } else {
      exchange.answer(item.cancelled ? STATUS_CANCELLED : 200, content);
    }
  }

  /** The operation's name over and over, so that a caller sees whose answer it got, and all. */
  private static byte[] content(WorkItem item) {
    String line = item.operation + " " + item.exchange.bodyLength() + "\n";
    long wanted = item.exchange.headerNumber(TargetHeaders.ANSWER_BYTES, line.length());
    int lines = (int) Math.max(1, wanted / line.length());
    return line.repeat(lines).getBytes(StandardCharsets.UTF_8);
  }

  /** The state that the health endpoint tells. */
  String state() {
    if (faults.isMisleadingHealth()) {
      return "READY";
    }
    if (drainStartedMs >= 0) {
      return "DRAINING";
    }
    return isCold(clock.nowMs()) ? "COLD" : "READY";
  }

  int inFlight() {
    return faults.isMisleadingHealth() ? 0 : running.size() + queue.size();
  }
}
