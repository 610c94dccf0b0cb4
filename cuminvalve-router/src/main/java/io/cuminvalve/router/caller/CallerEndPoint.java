package io.cuminvalve.router.caller;

import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.kernel.UpperTime;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import org.eclipse.jetty.io.EndPoint;
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
 * the server asks for them, or handled ahead, see {@link Pipeline}.
 *
 * @since 0.1
 */
public final class CallerEndPoint extends SocketChannelEndPoint implements WatchedEndPoint {

  private final Executor executor;
  private final MillisClock clock;
  private final PolledSelector selector;
  private final ArrivalBounds arrivals;
  private final Pipeline pipeline;
  private final Object lock = new Object();
  private final HeldBytes held = new HeldBytes();
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
      UpperTime acceptedAfter,
      PipelineLimits limits) {
    super(channel, selector, key, scheduler);
    this.executor = executor;
    this.clock = clock;
    this.selector = selector;
    this.arrivals = new ArrivalBounds(acceptedAfter);
    this.pipeline = new Pipeline(this, lock, executor, scheduler, limits);
  }

  @Override
  public UpperTime arrivedAfter(long firstByteNs) {
    synchronized (lock) {
      UpperTime byRead = arrivals.arrivedAfter(firstByteNs);
      return pipeline.frontArrival().orElse(byRead);
    }
  }

  @Override
  public EndPoint connection() {
    return this;
  }

  @Override
  public boolean claimLast() {
    return pipeline.claimLast(this);
  }

  /**
   * {@inheritDoc} Reads only what nobody else waits for, so it can tell nothing of a connection
   * that is not watched.
   */
  @Override
  public boolean isCallerPresent() {
    boolean hasMore;
    boolean present;
    synchronized (lock) {
      hasMore = watching && reader == null && !endSeen && readToEnd() > 0;
      present = !endSeen && isOpen();
    }
    if (hasMore && pipeline.isOn()) {
      pipeline.readAheadLater();
    }
    return present;
  }

  /** Reads what is there; the end of the stream may lie behind bytes of next requests. */
  private int readToEnd() {
    int all = 0;
    try {
      int read = 1;
      while (read > 0 && held.makeRoom()) {
        read = readHeld();
        all += Math.max(0, read);
      }
      endSeen |= read < 0;
    } catch (IOException broken) {
      endSeen = true;
    }
    return all;
  }

  private int readHeld() throws IOException {
    UpperTime emptyBefore = arrivals.empty();
    int read = read(held.buffer());
    pipeline.onHeld(read, emptyBefore);
    return read;
  }

  /** Lets requests be taken from the bytes that are held; under the lock. */
  <T> T takeHeld(Function<ByteBuffer, T> taker) {
    return held.take(taker);
  }

  /** Watches the connection until the server reads from it again. */
  @Override
  public void watch(Runnable callback) {
    boolean gone;
    boolean hasMore;
    synchronized (lock) {
      onGone = callback;
      gone = endSeen;
      hasMore = pipeline.isInProgress() && !held.isEmpty();
      if (!endSeen) {
        beginWatching();
      }
    }
    if (gone) {
      callback.run();
    } else if (hasMore) {
      pipeline.readAheadLater();
    }
  }

  @Override
  public void unwatch() {
    synchronized (lock) {
      onGone = () -> {};
      pipeline.onFrontDecided();
    }
  }

  @Override
  public int fill(ByteBuffer buffer) throws IOException {
    synchronized (lock) {
      if (pipeline.isOn()) {
        return fillInTurn(buffer);
      }
      if (!held.isEmpty()) {
        return takeHeld(from -> BufferUtil.append(buffer, from));
      }
      return endSeen ? -1 : read(buffer);
    }
  }

  /** Gives the server no byte while others have their turn, and never more than one request. */
  private int fillInTurn(ByteBuffer buffer) throws IOException {
    pipeline.onFrontAnswered();
    if (!pipeline.isEmpty()) {
      return 0;
    }
    if (pipeline.isCut()) {
      return discard();
    }
    if (held.isEmpty()) {
      if (endSeen) {
        return -1;
      }
      if (pipeline.belongsToLast(buffer.capacity())) {
        int read = read(buffer);
        pipeline.onPassed(Math.max(0, read));
        return read;
      }
      held.makeRoom(pipeline.isWithinRequest() ? buffer.capacity() : 1);
      int read = readHeld();
      endSeen |= read < 0;
      if (read <= 0) {
        return read;
      }
    }
    return takeHeld(from -> pipeline.pass(from, buffer));
  }

  /** Reads to the end: a close with bytes unread could destroy responses on their way. */
  private int discard() throws IOException {
    int read = endSeen ? -1 : 1;
    while (read > 0) {
      held.clear();
      read = read(held.buffer());
    }
    held.clear();
    endSeen |= read < 0;
    return read;
  }

  /** A read that does not fill the buffer has left the connection without a byte. */
  private int read(ByteBuffer buffer) throws IOException {
    UpperTime now = clock.upper();
    long nowNs = NanoTime.now();
    boolean hadRoom = HeldBytes.hasRoom(buffer);
    int read = super.fill(buffer);
    if (read > 0) {
      arrivals.onBytes(nowNs);
    }
    if (read >= 0 && hadRoom && BufferUtil.space(buffer) > 0) {
      arrivals.onEmpty(now);
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

  /** Bytes of next requests may come before the end: it goes on while there is room for them. */
  private void beginWatching() {
    if (!watching && held.makeRoom()) {
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
      return pipeline.isParked() || (watching ? reader != null : super.isFillInterested());
    }
  }

  /** Returns whether the reader will be called by the watch or from what it has read. */
  private boolean takeInterest(Callback callback) {
    synchronized (lock) {
      if (pipeline.park(callback)) {
        beginWatching();
        pipeline.giveTurnLater();
        return true;
      }
      if (!held.isEmpty() || endSeen) {
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
    Runnable then = () -> {};
    synchronized (lock) {
      watching = false;
      waiting = reader;
      reader = null;
      if (waiting == null) {
        then = readAhead();
      }
    }
    if (waiting != null) {
      waiting.succeeded();
    }
    then.run();
  }

  private Runnable readAhead() {
    readToEnd();
    if (!endSeen) {
      beginWatching();
    }
    return endSeen ? goneListener() : pipeline::readAhead;
  }

  /** Returns whether the caller has ended the stream; under the lock. */
  boolean isEndSeen() {
    return endSeen;
  }

  /** Goes on watching, if that ended for want of room; under the lock. */
  void watchOn() {
    if (!endSeen && pipeline.isInProgress()) {
      beginWatching();
    }
  }

  private Runnable goneListener() {
    Runnable front = onGone;
    return () -> {
      front.run();
      pipeline.tellGone();
    };
  }

  private void onWatchFailed(Throwable cause) {
    Callback waiting;
    Runnable gone;
    synchronized (lock) {
      watching = false;
      waiting = reader;
      reader = null;
      gone = waiting == null && !(cause instanceof TimeoutException) ? goneListener() : () -> {};
    }
    if (waiting != null) {
      waiting.failed(cause);
    }
    tell(gone);
  }

  /** A connection is not idle while its requests are in progress, unless the caller reads none. */
  @Override
  protected void onIdleExpired(TimeoutException timeout) {
    boolean busy;
    synchronized (lock) {
      busy = !pipeline.isEmpty();
    }
    if (!busy || getWriteFlusher().isPending()) {
      super.onIdleExpired(timeout);
    }
  }

  @Override
  protected void doShutdownOutput() {
    super.doShutdownOutput();
    pipeline.onConnectionEnd();
  }

  @Override
  public void doClose() {
    super.doClose();
    pipeline.onConnectionEnd();
  }

  /** A close may be noticed within a read, whose lock the listener must not hold. */
  void tell(Runnable gone) {
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
