package io.cuminvalve.router.caller;

import io.cuminvalve.kernel.UpperTime;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * The requests of one connection that are handled before earlier ones are answered.
 *
 * <p>Built for callers that send several requests without waiting: a slow response keeps later
 * requests from being answered first, but not from being handled. The connection itself handles the
 * request at the front; safe ones behind a safe front each get a {@link ReadAheadEndPoint}. A
 * response is written when the server asks for the request behind the response before it.
 *
 * <p>Thread-safe; methods that say so are called under the lock of the connection.
 */
final class Pipeline {

  private final CallerEndPoint caller;
  private final Object lock;
  private final Executor executor;
  private final Scheduler scheduler;
  private final PipelineLimits limits;
  private final MessageStream stream = new MessageStream();
  private final Deque<ReadAheadEndPoint> queue = new ArrayDeque<>();
  private final HeldArrivals arrivals = new HeldArrivals();

  /** The server handles a safe request at the front, and has not asked for the next one. */
  private boolean frontInProgress;

  private boolean dispatching;
  private boolean barred;
  private boolean cut;
  private Callback parked;
  private UpperTime frontArrival = UpperTime.NEVER;

  Pipeline(
      CallerEndPoint caller,
      Object lock,
      Executor executor,
      Scheduler scheduler,
      PipelineLimits limits) {
    this.caller = caller;
    this.lock = lock;
    this.executor = executor;
    this.scheduler = scheduler;
    this.limits = limits;
  }

  boolean isOn() {
    return limits.maxRequests() > 0;
  }

  /** Returns whether a response has ended the connection; under the lock. */
  boolean isCut() {
    return cut;
  }

  /** Returns whether requests behind the front are in progress; under the lock. */
  boolean isEmpty() {
    return queue.isEmpty();
  }

  /** Returns whether the connection has to be watched; under the lock. */
  boolean isInProgress() {
    return frontInProgress || !queue.isEmpty();
  }

  /** Returns whether the next bytes can be read into the buffer of the server; under the lock. */
  boolean belongsToLast(int bytes) {
    return stream.belongsToLast(bytes);
  }

  /** Bytes were read that the server got; under the lock. */
  void onPassed(int bytes) {
    stream.onPassed(bytes);
  }

  /** Bytes were read and are held; under the lock. */
  void onHeld(int bytes, UpperTime emptyBefore) {
    if (isOn() && bytes > 0) {
      arrivals.onHeld(bytes, emptyBefore);
    }
  }

  /** Passes held bytes to the server, of one request at most; under the lock. */
  int pass(ByteBuffer held, ByteBuffer buffer) {
    if (stream.isAtStart()) {
      frontArrival = arrivals.ofNext();
    }
    int passed = stream.pass(held, buffer);
    arrivals.onTaken(passed);
    frontInProgress = passed > 0 && stream.isBehindSafe();
    return passed;
  }

  /** Returns since when the request at the front may have waited; under the lock. */
  Optional<UpperTime> frontArrival() {
    return isOn() && stream.isFollowed() ? Optional.of(frontArrival) : Optional.empty();
  }

  /** Returns whether the next bytes go on with the request at the front; under the lock. */
  boolean isWithinRequest() {
    return !stream.isAtStart();
  }

  /**
   * The response to the front is known; under the lock. The server reads the next request itself
   * soon, unless others have their turn before.
   */
  void onFrontDecided() {
    frontInProgress &= !queue.isEmpty();
  }

  /** The server asks for more than the front, which has been answered; under the lock. */
  void onFrontAnswered() {
    frontInProgress = false;
  }

  /**
   * Keeps the server's call for the next request while others have their turn; under the lock.
   *
   * @return false if the server has its turn
   */
  boolean park(Callback callback) {
    onFrontAnswered();
    if (queue.isEmpty()) {
      return false;
    }
    parked = callback;
    return true;
  }

  /** Returns whether the server waits for its turn; under the lock. */
  boolean isParked() {
    return parked != null;
  }

  /** The server waits: the first request behind the front has its turn. */
  void giveTurnLater() {
    executor.execute(this::giveTurn);
  }

  private void giveTurn() {
    ReadAheadEndPoint first;
    synchronized (lock) {
      first = parked == null ? null : queue.peekFirst();
    }
    if (first != null) {
      first.onTurn();
    }
  }

  /** Handles what is held behind the front, in a thread of its own. */
  void readAheadLater() {
    executor.execute(this::readAhead);
  }

  /** Handles complete requests that are held behind the front, in their order. */
  void readAhead() {
    synchronized (lock) {
      if (dispatching) {
        return;
      }
      dispatching = true;
    }
    for (ReadAheadEndPoint next = takeNext(); next != null; next = takeNext()) {
      handle(next);
    }
  }

  private void handle(ReadAheadEndPoint next) {
    try {
      limits.handler().accept(next);
    } catch (RuntimeException failed) {
      next.close(failed);
    }
  }

  private ReadAheadEndPoint takeNext() {
    synchronized (lock) {
      Optional<byte[]> head =
          mayReadAhead() ? caller.takeHeld(MessageStream::takeSafe) : Optional.empty();
      if (head.isEmpty()) {
        dispatching = false;
        caller.watchOn();
        return null;
      }
      UpperTime arrivedAfter = arrivals.ofNext();
      arrivals.onTaken(head.get().length);
      ReadAheadEndPoint next =
          new ReadAheadEndPoint(this, caller, scheduler, head.get(), arrivedAfter);
      queue.addLast(next);
      limits.counts().onBegin();
      return next;
    }
  }

  private boolean mayReadAhead() {
    return isOn()
        && isInProgress()
        && stream.isAtStart()
        && !barred
        && !caller.isEndSeen()
        && queue.size() < limits.maxRequests();
  }

  /** A response behind the front has been written completely. */
  void onAnswered(ReadAheadEndPoint endPoint) {
    Callback server = null;
    synchronized (lock) {
      if (queue.peekFirst() != endPoint) {
        return;
      }
      queue.removeFirst();
      limits.counts().onEnd();
      if (queue.isEmpty()) {
        server = parked;
        parked = null;
      }
    }
    if (server != null) {
      caller.fillInterested(server);
    } else {
      giveTurnLater();
      readAheadLater();
    }
  }

  /** See {@link WatchedEndPoint#claimLast()}. */
  boolean claimLast(WatchedEndPoint endPoint) {
    synchronized (lock) {
      boolean last = queue.isEmpty() || queue.peekLast() == endPoint;
      barred |= last;
      return last;
    }
  }

  /** The response that has its turn ends the connection. */
  void onCut(ReadAheadEndPoint endPoint) {
    List<ReadAheadEndPoint> dropped;
    Callback server;
    synchronized (lock) {
      if (queue.peekFirst() != endPoint) {
        return;
      }
      cut = true;
      dropped = dropAll();
      server = parked;
      parked = null;
      caller.takeHeld(this::discard);
    }
    caller.shutdownOutput();
    dropped.forEach(ReadAheadEndPoint::abandon);
    if (server != null) {
      caller.fillInterested(server);
    }
  }

  private Optional<byte[]> discard(ByteBuffer held) {
    held.position(held.limit());
    return Optional.empty();
  }

  /** A response that is not yet written will end the connection: none is written behind it. */
  void dropBehind(ReadAheadEndPoint endPoint) {
    List<ReadAheadEndPoint> dropped = new ArrayList<>();
    synchronized (lock) {
      if (!queue.contains(endPoint)) {
        return;
      }
      barred = true;
      while (queue.peekLast() != endPoint) {
        dropped.add(queue.removeLast());
        limits.counts().onEnd();
      }
    }
    dropped.forEach(ReadAheadEndPoint::abandon);
  }

  /** The connection ends with the response at the front, or is closed. */
  void onConnectionEnd() {
    List<ReadAheadEndPoint> dropped;
    Callback server;
    synchronized (lock) {
      dropped = dropAll();
      server = parked;
      parked = null;
    }
    if (!dropped.isEmpty()) {
      caller.tell(() -> dropped.forEach(ReadAheadEndPoint::abandon));
    }
    if (server != null) {
      executor.execute(() -> caller.fillInterested(server));
    }
  }

  private List<ReadAheadEndPoint> dropAll() {
    barred = true;
    List<ReadAheadEndPoint> dropped = List.copyOf(queue);
    queue.clear();
    dropped.forEach(each -> limits.counts().onEnd());
    return dropped;
  }

  /** The caller is gone: all requests behind the front end at their targets. */
  void tellGone() {
    List<ReadAheadEndPoint> all;
    synchronized (lock) {
      barred = true;
      all = List.copyOf(queue);
    }
    all.forEach(ReadAheadEndPoint::tellGone);
  }
}
