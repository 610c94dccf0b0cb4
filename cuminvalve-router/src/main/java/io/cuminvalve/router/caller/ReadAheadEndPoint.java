package io.cuminvalve.router.caller;

import io.cuminvalve.kernel.UpperTime;
import java.io.EOFException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.WritePendingException;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * The place of one request that was read before earlier ones of its connection were answered.
 *
 * <p>The server reads the head from here. What it writes waits, without being copied, until all
 * earlier responses of the connection have been written. When it asks for the next request, the
 * response is complete.
 */
final class ReadAheadEndPoint extends AbstractEndPoint implements WatchedEndPoint {

  private final Pipeline pipeline;
  private final CallerEndPoint caller;
  private final ByteBuffer head;
  private final UpperTime arrivedAfter;
  private Runnable onGone = () -> {};
  private boolean hasTurn;
  private boolean abandoned;
  private boolean written;
  private Callback waitingWrite;
  private ByteBuffer[] waitingBytes;

  ReadAheadEndPoint(
      Pipeline pipeline,
      CallerEndPoint caller,
      Scheduler scheduler,
      byte[] head,
      UpperTime arrivedAfter) {
    super(scheduler);
    this.pipeline = pipeline;
    this.caller = caller;
    this.head = ByteBuffer.wrap(head);
    this.arrivedAfter = arrivedAfter;
  }

  @Override
  public UpperTime arrivedAfter(long firstByteNs) {
    return arrivedAfter;
  }

  @Override
  public boolean isCallerPresent() {
    return isOpen() && caller.isCallerPresent();
  }

  @Override
  public void watch(Runnable callback) {
    boolean gone;
    synchronized (this) {
      onGone = callback;
      gone = abandoned;
    }
    if (gone || !isCallerPresent()) {
      tellGone();
    }
  }

  @Override
  public synchronized void unwatch() {
    onGone = () -> {};
  }

  /** The caller is gone. */
  void tellGone() {
    Runnable listener;
    synchronized (this) {
      listener = onGone;
      onGone = () -> {};
    }
    listener.run();
  }

  @Override
  public EndPoint connection() {
    return caller;
  }

  @Override
  public boolean claimLast() {
    return pipeline.claimLast(this);
  }

  /** All earlier responses have been written. */
  void onTurn() {
    Callback write;
    ByteBuffer[] bytes;
    synchronized (this) {
      if (hasTurn || abandoned) {
        return;
      }
      hasTurn = true;
      write = waitingWrite;
      bytes = waitingBytes;
      waitingWrite = null;
      waitingBytes = null;
    }
    if (write != null) {
      caller.write(write, bytes);
    } else if (isOutputShutdown()) {
      pipeline.onCut(this);
    }
  }

  /** No response can be written any more. */
  void abandon() {
    Callback write;
    synchronized (this) {
      abandoned = true;
      write = waitingWrite;
      waitingWrite = null;
      waitingBytes = null;
    }
    tellGone();
    close();
    if (write != null) {
      write.failed(new EOFException("the connection ends before this response"));
    }
  }

  @Override
  public void write(Callback callback, ByteBuffer... buffers) throws WritePendingException {
    synchronized (this) {
      written = true;
      if (!hasTurn && !abandoned) {
        if (waitingWrite != null) {
          throw new WritePendingException();
        }
        waitingWrite = callback;
        waitingBytes = buffers.clone();
        return;
      }
    }
    if (isAbandoned()) {
      callback.failed(new EOFException("the connection ends before this response"));
    } else {
      caller.write(callback, buffers);
    }
  }

  private synchronized boolean isAbandoned() {
    return abandoned;
  }

  @Override
  public Callback cancelWrite(Throwable cause) {
    synchronized (this) {
      if (!hasTurn) {
        Callback write = waitingWrite;
        waitingWrite = null;
        waitingBytes = null;
        return write;
      }
    }
    return isAbandoned() ? null : caller.cancelWrite(cause);
  }

  @Override
  public int fill(ByteBuffer buffer) {
    if (head.hasRemaining()) {
      return BufferUtil.append(buffer, head);
    }
    return isOutputShutdown() ? -1 : 0;
  }

  @Override
  public void fillInterested(Callback callback) {
    tryFillInterested(callback);
  }

  /** The server asks for the next request; without a response, it has not taken this one. */
  @Override
  public boolean tryFillInterested(Callback callback) {
    boolean answered;
    synchronized (this) {
      answered = hasTurn && written;
    }
    if (answered) {
      pipeline.onAnswered(this);
    } else {
      close();
    }
    return true;
  }

  @Override
  public boolean isFillInterested() {
    return false;
  }

  @Override
  protected void doShutdownOutput() {
    onEnd();
  }

  @Override
  protected void doClose() {
    onEnd();
  }

  /** The response closes the connection, or is not completed. */
  private void onEnd() {
    boolean now;
    synchronized (this) {
      now = hasTurn;
    }
    if (now) {
      pipeline.onCut(this);
    } else {
      pipeline.dropBehind(this);
    }
  }

  @Override
  protected void onIncompleteFlush() {
    throw new UnsupportedOperationException("writes go to the connection of the caller");
  }

  @Override
  protected void needsFillInterest() {
    // The whole request is here from the beginning.
  }

  @Override
  public Object getTransport() {
    return caller.getTransport();
  }

  @Override
  public SocketAddress getLocalSocketAddress() {
    return caller.getLocalSocketAddress();
  }

  @Override
  public SocketAddress getRemoteSocketAddress() {
    return caller.getRemoteSocketAddress();
  }
}
