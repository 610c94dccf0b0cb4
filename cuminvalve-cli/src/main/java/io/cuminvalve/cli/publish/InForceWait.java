package io.cuminvalve.cli.publish;

import io.cuminvalve.cli.fleet.Fleet;
import io.cuminvalve.config.admin.CellStatus;
import io.cuminvalve.config.admin.RouterStatus;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.MillisClock;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;

/**
 * Waits until every registered router has confirmed a configuration revision.
 *
 * @since 0.1
 */
public final class InForceWait {

  private static final long POLL_MS = 50;

  private final Fleet fleet;
  private final MillisClock clock;
  private final LongConsumer pauseMs;

  /**
   * Creates a wait.
   *
   * @param fleet the fleet to ask; not null
   * @param clock measures the wait; not null
   * @param pauseMs pauses between two questions, in milliseconds; not null
   */
  public InForceWait(Fleet fleet, MillisClock clock, LongConsumer pauseMs) {
    this.fleet = fleet;
    this.clock = clock;
    this.pauseMs = pauseMs;
  }

  /**
   * Who confirmed a revision.
   *
   * @param inForce whether every registered router of every expected cell confirmed it
   * @param elapsedMs how long the wait took; milliseconds
   * @param routerCount how many registrations confirmed or should have; a router counts once for
   *     each cell
   * @param behind who did not, with what they have; not null, copied
   * @since 0.1
   */
  public record Result(boolean inForce, long elapsedMs, int routerCount, List<String> behind) {

    /** Copies the list. */
    public Result {
      behind = List.copyOf(behind);
    }
  }

  /**
   * Waits.
   *
   * @param revision the revision to wait for
   * @param cells the cells whose routers have to confirm it; not null
   * @param timeoutMs how long to wait; milliseconds
   * @return who confirmed it
   */
  public Result await(long revision, List<CellId> cells, long timeoutMs) {
    long startMs = clock.nowMs();
    while (true) {
      Result result = look(revision, cells, startMs);
      if (result.inForce() || result.elapsedMs() >= timeoutMs) {
        return result;
      }
      pauseMs.accept(POLL_MS);
    }
  }

  private Result look(long revision, List<CellId> cells, long startMs) {
    List<String> behind = new ArrayList<>();
    int routerCount = 0;
    try {
      List<CellStatus> statuses = fleet.cells();
      for (CellId cell : cells) {
        CellStatus status =
            statuses.stream().filter(each -> each.cell().equals(cell)).findFirst().orElse(null);
        routerCount += status == null ? 0 : status.routers().size();
        addBehind(cell, status, revision, behind);
      }
    } catch (CodedException e) {
      behind.add(e.getMessage());
    }
    return new Result(behind.isEmpty(), clock.nowMs() - startMs, routerCount, behind);
  }

  private static void addBehind(
      CellId cell, CellStatus status, long revision, List<String> behind) {
    if (status == null || !status.holding()) {
      behind.add("cell " + cell + ": no controller that holds its term answers");
      return;
    }
    if (status.configRevision() < revision) {
      behind.add("cell %s: its holder is at revision %d".formatted(cell, status.configRevision()));
    }
    if (status.routers().isEmpty()) {
      behind.add("cell " + cell + ": no router is registered");
    }
    for (RouterStatus router : status.routers()) {
      if (router.configRevision() < revision) {
        behind.add(
            "cell %s: router %s is at revision %d"
                .formatted(cell, router.id(), router.configRevision()));
      }
    }
  }
}
