package io.cuminvalve.router.caller;

import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.kernel.UpperTime;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.NanoTime;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A caller's connection that can be watched while its request is in progress.
 *
 * <p>The server reads an HTTP/1.1 connection only between requests, so it would notice a caller
 * that went away when it writes the answer, which is too late to cancel anything. The watch reads
 * ahead: an end of the stream means that the caller is gone; bytes of a next request are held until
 * the server asks for them.
 *
 * @since 0.1
 */
public final class CallerEndPoint extends SocketChannelEndPoint {

  private static final int FIRST_HELD_BYTES = 1024;

  /** Bytes of next requests that are read ahead, to find the end of the stream behind them. */
  private static final int MAX_HELD_BYTES = 64 * 1024;

  private final Executor executor;
  private final MillisClock clock;
  private final PolledSelector selector;
  private final ArrivalBounds arrivals;
  private final Object lock = new Object();
  private ByteBuffer held = BufferUtil.allocate(FIRST_HELD_BYTES);
  private boolean watching;
  private boolean endSeen;
  private Callback reader;
  private Runnable onGone = () -> {};

  /** How many looks of the selector had begun when its interest was set last. */
  private long pollsAtInterest = Long.MAX_VALUE;

  CallerEndPoint(
      SocketChannel channel,
      PolledSelector selector,
      SelectionKey key,
      Scheduler scheduler,
      Executor executor,
      MillisClock clock,
      UpperTime acceptedAfter) {
    super(channel, selector, key, scheduler);
    this.executor = executor;
    this.clock = clock;
    this.selector = selector;
    this.arrivals = new ArrivalBounds(acceptedAfter);
  }

  /**
   * Returns a moment before which no byte of a request had arrived, however late it was accepted or
   * read.
   *
   * @param firstByteNs when its first byte was parsed; a reading of the nanosecond clock
   * @return {@link UpperTime#NEVER} if that is not known; never null
   */
  public UpperTime arrivedAfter(long firstByteNs) {
    synchronized (lock) {
      return arrivals.arrivedAfter(firstByteNs);
    }
  }

  /**
   * Looks whether the caller has ended the stream, also if nobody has been told of it yet. Reads
   * only what nobody else waits for, so it can tell nothing of a connection that is not watched.
   *
   * @return false if the caller is gone
   */
  public boolean isCallerPresent() {
    synchronized (lock) {
      if (watching && reader == null && !endSeen) {
        readToEnd();
      }
      return !endSeen && isOpen();
    }
  }

  /** Reads what is there; the end of the stream may lie behind bytes of next requests. */
  private void readToEnd() {
    try {
      int read = 1;
      while (read > 0 && makeRoom()) {
        read = read(held);
      }
      endSeen |= read < 0;
    } catch (IOException broken) {
      endSeen = true;
    }
  }

  /** Tells whether more may be held; the buffer grows up to its bound. */
  private boolean makeRoom() {
    if (!hasRoom(held) && held.capacity() < MAX_HELD_BYTES) {
      ByteBuffer larger = BufferUtil.allocate(2 * held.capacity());
      BufferUtil.append(larger, held);
      held = larger;
    }
    return hasRoom(held);
  }

  /**
   * Watches the connection until the server reads from it again.
   *
   * @param callback called at most once, if the caller goes away first; not null
   */
  public void watch(Runnable callback) {
    boolean gone;
    synchronized (lock) {
      onGone = callback;
      gone = endSeen;
      if (!endSeen) {
        beginWatching();
      }
    }
    if (gone) {
      callback.run();
    }
  }

  /** Stops telling; called when the request has its outcome. */
  public void unwatch() {
    synchronized (lock) {
      onGone = () -> {};
    }
  }

  @Override
  public int fill(ByteBuffer buffer) throws IOException {
    synchronized (lock) {
      if (BufferUtil.hasContent(held)) {
        return takeHeld(buffer);
      }
      return endSeen ? -1 : read(buffer);
    }
  }

  private int takeHeld(ByteBuffer buffer) {
    int taken = BufferUtil.append(buffer, held);
    if (!BufferUtil.hasContent(held) && held.capacity() > FIRST_HELD_BYTES) {
      held = BufferUtil.allocate(FIRST_HELD_BYTES);
    }
    return taken;
  }

  private int read(ByteBuffer buffer) throws IOException {
    UpperTime now = clock.upper();
    long nowNs = NanoTime.now();
    boolean hadRoom = hasRoom(buffer);
    int read = super.fill(buffer);
    if (read == 0 && hadRoom) {
      arrivals.onEmpty(now);
    } else if (read > 0) {
      arrivals.onBytes(nowNs);
    }
    return read;
  }

  /** A connection that the last but one look was to select, and did not, was empty then. */
  @Override
  public Runnable onSelected() {
    synchronized (lock) {
      if (pollsAtInterest <= selector.polls() - 2) {
        arrivals.onEmpty(selector.previous());
      }
    }
    return super.onSelected();
  }

  @Override
  public void updateKey() {
    super.updateKey();
    synchronized (lock) {
      pollsAtInterest = super.isFillInterested() ? selector.polls() : Long.MAX_VALUE;
    }
  }

  private static boolean hasRoom(ByteBuffer buffer) {
    return !BufferUtil.hasContent(buffer) || BufferUtil.space(buffer) > 0;
  }

  /** Bytes of next requests may come before the end: it goes on while there is room for them. */
  private void beginWatching() {
    if (!watching && makeRoom()) {
      watching = true;
      boolean begun = super.tryFillInterested(new Watch());
      watching &= begun;
    }
  }

  @Override
  public void fillInterested(Callback callback) {
    if (!takeInterest(callback)) {
      super.fillInterested(callback);
    }
  }

  @Override
  public boolean tryFillInterested(Callback callback) {
    return takeInterest(callback) || super.tryFillInterested(callback);
  }

  @Override
  public boolean isFillInterested() {
    synchronized (lock) {
      return watching ? reader != null : super.isFillInterested();
    }
  }

  /** Returns whether the reader will be called by the watch or from what it has read. */
  private boolean takeInterest(Callback callback) {
    synchronized (lock) {
      if (BufferUtil.hasContent(held) || endSeen) {
        executor.execute(callback::succeeded);
        return true;
      }
      if (watching) {
        reader = callback;
        return true;
      }
      return false;
    }
  }

  private void onReadable() {
    Callback waiting;
    Runnable gone = () -> {};
    synchronized (lock) {
      watching = false;
      waiting = reader;
      reader = null;
      if (waiting == null) {
        gone = readAhead();
      }
    }
    if (waiting != null) {
      waiting.succeeded();
    }
    gone.run();
  }

  private Runnable readAhead() {
    readToEnd();
    if (!endSeen) {
      beginWatching();
    }
    return endSeen ? onGone : () -> {};
  }

  private void onWatchFailed(Throwable cause) {
    Callback waiting;
    Runnable gone;
    synchronized (lock) {
      watching = false;
      waiting = reader;
      reader = null;
      gone = waiting == null && !(cause instanceof TimeoutException) ? onGone : () -> {};
    }
    if (waiting != null) {
      waiting.failed(cause);
    }
    tell(gone);
  }

  /** A close may be noticed within a read, whose lock the listener must not hold. */
  private void tell(Runnable gone) {
    if (Thread.holdsLock(lock)) {
      executor.execute(gone);
    } else {
      gone.run();
    }
  }

  /** Waits for the connection to become readable. */
  private final class Watch implements Callback {

    @Override
    public void succeeded() {
      onReadable();
    }

    @Override
    public void failed(Throwable cause) {
      onWatchFailed(cause);
    }
  }
}
