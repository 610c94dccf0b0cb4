package io.cuminvalve.router.caller;

import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.kernel.UpperTime;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.function.Consumer;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;

/**
 * A selector that is never silent for long and knows when it last looked at its connections.
 *
 * <p>A connection in which it is interested and that it did not select held no byte when it began
 * to look.
 */
final class PolledSelector extends ManagedSelector {

  /** The most by which the time of an arrival stays unknown on a process that is not slow. */
  private static final long LONGEST_POLL_MS = 25;

  private final MillisClock clock;
  private final Consumer<UpperTime> onNothingToAccept;
  private volatile long polls;
  private volatile UpperTime last = UpperTime.NEVER;
  private volatile UpperTime previous = UpperTime.NEVER;

  PolledSelector(
      SelectorManager manager, int id, MillisClock clock, Consumer<UpperTime> onNothingToAccept) {
    super(manager, id);
    this.clock = clock;
    this.onNothingToAccept = onNothingToAccept;
  }

  @Override
  protected int nioSelect(Selector selector, boolean now) throws IOException {
    previous = last;
    last = clock.upper();
    polls++;
    int selected = now ? selector.selectNow() : selector.select(LONGEST_POLL_MS);
    if (!isAnyToAccept(selector)) {
      onNothingToAccept.accept(last);
    }
    return selected;
  }

  private static boolean isAnyToAccept(Selector selector) {
    for (SelectionKey key : selector.selectedKeys()) {
      if (key.isValid() && key.isAcceptable()) {
        return true;
      }
    }
    return false;
  }

  /** Returns how many looks have begun. */
  long polls() {
    return polls;
  }

  /** Returns when the look before the last one began. */
  UpperTime previous() {
    return previous;
  }
}
