package io.cuminvalve.core.replay;

import io.cuminvalve.core.verdict.TargetRefusal;
import java.util.ArrayList;
import java.util.List;

/**
 * A target of a trace, with no more behaviour than the events name.
 *
 * @since 0.1
 */
final class ReplayTarget {

  private static final long CONNECT_MS = 1;

  private final VirtualTime time;
  private final int slots;
  private final List<Work> work = new ArrayList<>();
  private TargetState state = TargetState.UP;
  private double mostInFlight;

  /** A request that the target has. */
  private static final class Work {

    private final ReplayRequest request;
    private final int attempt;
    private boolean started;
    private boolean over;

    Work(ReplayRequest request, int attempt) {
      this.request = request;
      this.attempt = attempt;
    }
  }

  ReplayTarget(VirtualTime time, int slots) {
    this.time = time;
    this.slots = slots;
  }

  double mostInFlight() {
    return mostInFlight;
  }

  void change(TargetState newState) {
    state = newState;
    if (state == TargetState.KILLED) {
      for (Work item : List.copyOf(work)) {
        end(item);
        item.request.onCut(item.attempt);
      }
    } else if (state != TargetState.FROZEN) {
      work.stream().filter(item -> !item.started).toList().forEach(this::start);
    }
  }

  /** Takes a request after the time that a connection needs. */
  void connect(ReplayRequest request, int attempt) {
    time.after(CONNECT_MS, () -> accept(request, attempt));
  }

  /** Stops working on a request whose connection was closed. */
  void cancel(ReplayRequest request, int attempt) {
    work.stream()
        .filter(item -> item.request == request && item.attempt == attempt)
        .toList()
        .forEach(this::end);
  }

  private void accept(ReplayRequest request, int attempt) {
    if (state == TargetState.KILLED) {
      request.onConnectFailed(attempt);
      return;
    }
    if (!request.onFirstByte(attempt)) {
      return;
    }
    if (state == TargetState.OVERLOADED) {
      request.onRefused(attempt, TargetRefusal.OVERLOADED);
    } else if (state == TargetState.DRAINING) {
      request.onRefused(attempt, TargetRefusal.DRAINING);
    } else {
      Work item = new Work(request, attempt);
      work.add(item);
      mostInFlight = Math.max(mostInFlight, (double) work.size() / slots);
      if (state != TargetState.FROZEN) {
        start(item);
      }
    }
  }

  private void start(Work item) {
    item.started = true;
    item.request.onRun();
    time.after(item.request.serviceMs(), () -> answer(item));
  }

  private void answer(Work item) {
    if (item.over) {
      return;
    }
    if (state == TargetState.FROZEN) {
      time.after(CONNECT_MS, () -> answer(item));
      return;
    }
    end(item);
    item.request.onHead(item.attempt);
    if (state == TargetState.CUTS_ANSWERS) {
      item.request.onCut(item.attempt);
    } else {
      item.request.onEnd(item.attempt);
    }
  }

  private void end(Work item) {
    item.over = true;
    work.remove(item);
  }
}
