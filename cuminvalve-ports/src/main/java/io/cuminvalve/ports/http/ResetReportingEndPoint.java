package io.cuminvalve.ports.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection on which a reset is a failure and never the end of the stream.
 *
 * <p>An HTTP answer without a length ends with its connection, so a part of it would pass for the
 * whole if the end of the stream were reported after a reset. Jetty reports it in two cases: it
 * ignores the error of a read, and the operating system reports a reset only once. If a write meets
 * the reset first, the read that follows sees the end of the stream. A write that has met a reset
 * therefore fails that read, too.
 *
 * @since 0.2
 */
public class ResetReportingEndPoint extends SocketChannelEndPoint {

  /**
   * The error of a write if the peer had ended its stream in order before it reset the connection.
   * All that it sent can then still be read. After a reset alone, the error is another one.
   */
  private static final String RESET_AFTER_END = "Broken pipe";

  /** Held during a write, so that a read that sees the end knows how concurrent writes ended. */
  private final Object writeLock = new Object();

  private IOException resetMetByWrite;

  /**
   * Creates the end point of a connection.
   *
   * @param channel the connection; not null
   * @param selector selects the channel; not null
   * @param key the key of the channel; not null
   * @param scheduler schedules the idle timeout; not null
   */
  public ResetReportingEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
    super(channel, selector, key, scheduler);
  }

  /**
   * Reads into a buffer.
   *
   * @return the number of bytes read, possibly 0; -1 if the peer has ended the stream in order
   * @throws IOException if the connection was reset or failed in another way
   */
  @Override
  public int fill(ByteBuffer buffer) throws IOException {
    if (isInputShutdown()) {
      return -1;
    }
    int position = BufferUtil.flipToFill(buffer);
    int filled;
    try {
      filled = getChannel().read(buffer);
    } finally {
      BufferUtil.flipToFlush(buffer, position);
    }
    if (filled > 0) {
      notIdle();
      onFilled(filled);
    } else if (filled < 0) {
      failIfWriteMetReset();
      shutdownInput();
    }
    return filled;
  }

  /**
   * Called after bytes were read.
   *
   * @param filledBytes the number of bytes; at least 1
   * @throws IOException if the connection must not be used any longer
   */
  protected void onFilled(int filledBytes) throws IOException {
    // Nothing to check by default.
  }

  private void failIfWriteMetReset() throws EofException {
    synchronized (writeLock) {
      if (resetMetByWrite != null) {
        throw new EofException(
            "connection to " + getRemoteSocketAddress() + " was reset while it was written",
            resetMetByWrite);
      }
    }
  }

  @Override
  public boolean flush(ByteBuffer... buffers) throws IOException {
    synchronized (writeLock) {
      try {
        return super.flush(buffers);
      } catch (IOException failure) {
        if (!isResetAfterEnd(failure)) {
          resetMetByWrite = failure;
        }
        throw failure;
      }
    }
  }

  /** Jetty wraps the error of the channel. */
  private static boolean isResetAfterEnd(IOException failure) {
    Throwable error = failure.getCause() == null ? failure : failure.getCause();
    return RESET_AFTER_END.equals(error.getMessage());
  }
}
