package io.cuminvalve.router.control;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.ManagedService;
import io.cuminvalve.router.target.TargetProber;
import io.cuminvalve.wire.PeerChannel;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.tinylog.Logger;

/**
 * Runs every cell of this router on the control thread.
 *
 * @since 0.1
 */
public final class ControlLoop implements ManagedService {

  /** How often cells learn that time has passed; their contract asks for 20 ms at most. */
  private static final long TICK_MS = 10;

  /** How long the holder may take to remove this router from the table. */
  private static final long LEAVE_TIMEOUT_MS = 3_000;

  private final ControlThread controlThread;
  private final Map<CellId, CellRunner> runners;
  private final TargetProber prober;

  /**
   * Creates a loop that does not run yet.
   *
   * @param controlThread the control thread; not null
   * @param runners the runner of each cell; not null, copied
   * @param prober probes targets; not null
   */
  public ControlLoop(
      ControlThread controlThread, Map<CellId, CellRunner> runners, TargetProber prober) {
    this.controlThread = controlThread;
    this.runners = Map.copyOf(runners);
    this.prober = prober;
  }

  @Override
  public void start() {
    controlThread.scheduleRepeatedly(this::onTick, TICK_MS);
  }

  /**
   * Takes a message; to be called on the control thread.
   *
   * @param sender where it came from; not null
   * @param message the message; not null
   */
  public void onMessage(PeerChannel sender, PeerMessage message) {
    CellRunner runner = runners.get(message.cell());
    if (runner != null) {
      runner.onMessage(message, sender.peerAddress());
    }
  }

  /** Leaves the registered set of every cell; no request is left that needs a lease. */
  @Override
  public void drain() {
    CompletableFuture<Void> all = new CompletableFuture<>();
    controlThread.execute(() -> leaveAll(all));
    try {
      all.get(LEAVE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException tooLong) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException unheard) {
      // Nobody holds a term now: the next holder removes this router when it stays silent.
      Logger.warn("Stopping without having left the registered routers");
    }
  }

  @Override
  public void stop() {
    controlThread.close();
  }

  private void leaveAll(CompletableFuture<Void> all) {
    CompletableFuture<?>[] each =
        runners.values().stream().map(CellRunner::leave).toArray(CompletableFuture[]::new);
    CompletableFuture.allOf(each).whenComplete((done, failure) -> all.complete(null));
  }

  private void onTick() {
    runners.values().forEach(CellRunner::onTick);
    prober.onTick();
  }
}
