package io.cuminvalve.load.run;

import io.cuminvalve.core.verdict.Verdict;
import io.cuminvalve.load.profile.OperationKind;
import java.util.Random;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.eclipse.jetty.client.HttpClient;

/**
 * Sends the operations of one plan in an open loop: each at its intended time, at random distances,
 * however long earlier ones take. Latency counts from the intended time, so that a stall of the
 * system or of this tool is never left out.
 *
 * @since 0.1
 */
public final class LoadGenerator {

  private static final long NS_PER_MS = 1_000_000L;
  private static final double NS_PER_SECOND = 1e9;

  private final LoadPlan plan;
  private final OperationSender sender;
  private final Consumer<Attempt> listener;
  private final Semaphore outstanding;
  private final AtomicLong unsent = new AtomicLong();
  private final String runName;

  /**
   * Creates a generator.
   *
   * @param plan what to send; not null
   * @param client a started client; not null
   * @param listener is told of each attempt, on any thread; not null
   */
  public LoadGenerator(LoadPlan plan, HttpClient client, Consumer<Attempt> listener) {
    this.plan = plan;
    this.sender = new OperationSender(client);
    this.listener = listener;
    this.outstanding = new Semaphore(plan.maxOutstanding());
    this.runName = plan.profile().name() + "-" + Long.toString(plan.seed(), 36);
  }

  /**
   * Sends everything, then waits for the answers.
   *
   * @param graceMs how long to wait for the last answers, in milliseconds
   * @return true if every operation ended in time
   * @throws InterruptedException if the calling thread is interrupted
   */
  public boolean run(long graceMs) throws InterruptedException {
    Random random = new Random(plan.seed());
    long startNs = System.nanoTime();
    long endNs = startNs + plan.durationMs() * NS_PER_MS;
    long dueNs = startNs;
    for (long number = 0; dueNs < endNs; number++) {
      awaitNs(dueNs);
      submit(next(random, number, dueNs, startNs));
      dueNs += (long) (-Math.log(1 - random.nextDouble()) / plan.ratePerSecond() * NS_PER_SECOND);
    }
    return outstanding.tryAcquire(plan.maxOutstanding(), graceMs, TimeUnit.MILLISECONDS);
  }

  /**
   * Returns how many operations were left out because too many were open.
   *
   * @return a count
   */
  public long unsentCount() {
    return unsent.get();
  }

  private Operation next(Random random, long number, long dueNs, long startNs) {
    OperationKind kind = plan.profile().chooseKind(random);
    String key = plan.profile().keys().choose(random, (dueNs - startNs) / NS_PER_MS);
    return new Operation(runName + "-" + number, kind, key, dueNs);
  }

  private static void awaitNs(long dueNs) throws InterruptedException {
    for (long left = dueNs - System.nanoTime(); left > 0; left = dueNs - System.nanoTime()) {
      LockSupport.parkNanos(left);
      if (Thread.interrupted()) {
        throw new InterruptedException();
      }
    }
  }

  private void submit(Operation operation) {
    if (!outstanding.tryAcquire()) {
      unsent.incrementAndGet();
      return;
    }
    int router = Math.floorMod(operation.id().hashCode(), plan.routers().size());
    sender.send(operation, plan.routers().get(router), false, attempt -> onFirst(attempt, router));
  }

  private void onFirst(Attempt attempt, int router) {
    listener.accept(attempt);
    boolean uncertain = attempt.verdict() == Verdict.MAY_HAVE_RUN;
    if (uncertain && plan.resendUncertain() && !attempt.operation().kind().repeatable()) {
      String other = plan.routers().get((router + 1) % plan.routers().size());
      sender.send(attempt.operation(), other, true, this::onLast);
    } else {
      outstanding.release();
    }
  }

  private void onLast(Attempt attempt) {
    listener.accept(attempt);
    outstanding.release();
  }
}
