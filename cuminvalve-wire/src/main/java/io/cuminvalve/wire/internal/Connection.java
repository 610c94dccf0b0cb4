package io.cuminvalve.wire.internal;

import io.cuminvalve.kernel.CodedException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Optional;

/**
 * A connection to a peer, as client or server. Confined to the reactor thread.
 *
 * @since 0.1
 */
public final class Connection {

  private static final int READ_BYTES = 64 * 1024;
  private static final int READS_PER_ROUND = 16;
  private static final byte[] KEEP_ALIVE = new byte[0];

  private final SocketChannel channel;
  private final Handshake handshake;
  private final OutboundQueue queue;
  private final ConnectionListener listener;
  private final FrameDecoder decoder = new FrameDecoder(Handshake.MAX_FRAME_BYTES);
  private final ByteBuffer input = ByteBuffer.allocate(READ_BYTES);
  private final OutboundQueue controlFrames = new OutboundQueue(8);
  private SelectionKey key;
  private ByteBuffer partlyWritten;
  private boolean echoesKeepAlive;
  private boolean readPaused;
  private boolean closed;

  /**
   * Creates a connection.
   *
   * @param channel a connected or connecting channel in non-blocking mode; not null
   * @param handshake the handshake of this side; not null
   * @param queue the frames to send after the handshake; not null
   * @param echoesKeepAlive whether keep-alive (empty) frames are answered with one
   * @param listener receives the events of the connection; not null
   */
  public Connection(
      SocketChannel channel,
      Handshake handshake,
      OutboundQueue queue,
      boolean echoesKeepAlive,
      ConnectionListener listener) {
    this.channel = channel;
    this.handshake = handshake;
    this.queue = queue;
    this.echoesKeepAlive = echoesKeepAlive;
    this.listener = listener;
  }

  /**
   * Registers the connection with a reactor.
   *
   * @param reactor reads and writes the connection; not null
   * @throws IOException if the channel is closed
   */
  public void register(Reactor reactor) throws IOException {
    int operations = channel.isConnected() ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT;
    key = reactor.register(channel, operations, this::onReady);
  }

  /**
   * Returns whether the connection is open and the peer is authenticated.
   *
   * @return true if messages can be exchanged
   */
  public boolean isEstablished() {
    return !closed && handshake.isDone();
  }

  /**
   * Returns the listener address that the client announced.
   *
   * @return IP address and port, never null
   */
  public String clientAddress() {
    return handshake.clientAddress();
  }

  /** Sends a keep-alive frame. */
  public void sendKeepAlive() {
    controlFrames.add(FrameDecoder.frame(KEEP_ALIVE), true);
    flush();
  }

  /** Writes queued frames until the socket buffer is full. */
  public void flush() {
    if (closed || key == null || !channel.isConnected()) {
      return;
    }
    try {
      boolean drained = writeAll();
      setInterest(SelectionKey.OP_WRITE, !drained);
    } catch (IOException failure) {
      close(new CloseReason(CloseReason.Kind.LOST, failure.toString()));
    }
  }

  /**
   * Pauses or resumes reading, so that a fast sender cannot exhaust the memory.
   *
   * @param paused true to pause, false to resume
   */
  public void pauseReading(boolean paused) {
    readPaused = paused;
    if (!closed && channel.isConnected()) {
      setInterest(SelectionKey.OP_READ, !paused);
      if (!paused) {
        readOrClose();
      }
    }
  }

  /**
   * Closes the connection and notifies the listener. Idempotent.
   *
   * @param reason the reason; not null
   */
  public void close(CloseReason reason) {
    if (closed) {
      return;
    }
    closed = true;
    try {
      channel.close();
    } catch (IOException ignored) {
      // The connection is discarded in any case.
    }
    listener.onClosed(this, reason);
  }

  private void onReady() {
    if (closed) {
      return;
    }
    if (key.isConnectable()) {
      finishConnect();
    }
    if (!closed && key.isReadable()) {
      readOrClose();
    }
    if (!closed && key.isWritable()) {
      flush();
    }
  }

  private void finishConnect() {
    try {
      channel.finishConnect();
      key.interestOps(SelectionKey.OP_READ);
      controlFrames.add(FrameDecoder.frame(handshake.hello()), false);
      flush();
    } catch (IOException failure) {
      close(CloseReason.ofConnectFailure(failure));
    }
  }

  private void readOrClose() {
    try {
      read();
    } catch (IOException failure) {
      close(new CloseReason(CloseReason.Kind.LOST, failure.toString()));
    } catch (CodedException broken) {
      close(new CloseReason(CloseReason.Kind.PROTOCOL, broken.getMessage()));
    }
  }

  private void read() throws IOException {
    handleFrames();
    for (int i = 0; i < READS_PER_ROUND && !closed && !readPaused; i++) {
      input.clear();
      int count = channel.read(input);
      if (count < 0) {
        close(new CloseReason(CloseReason.Kind.LOST, "closed by the peer"));
        return;
      }
      if (count == 0) {
        return;
      }
      decoder.append(input.flip());
      handleFrames();
    }
  }

  private void handleFrames() {
    while (!closed && !readPaused) {
      Optional<byte[]> frame = decoder.next();
      if (frame.isEmpty()) {
        return;
      }
      handleFrame(frame.get());
    }
  }

  private void handleFrame(byte[] frame) {
    if (!handshake.isDone()) {
      continueHandshake(frame);
    } else if (frame.length == 0) {
      if (echoesKeepAlive) {
        sendKeepAlive();
      }
      listener.onDataReceived(this);
    } else {
      listener.onDataReceived(this);
      listener.onFrame(this, frame);
    }
  }

  private void continueHandshake(byte[] frame) {
    Optional<byte[]> reply = handshake.onFrame(frame);
    reply.ifPresent(content -> controlFrames.add(FrameDecoder.frame(content), false));
    if (handshake.isDone()) {
      decoder.setMaxFrameBytes(FrameDecoder.MAX_FRAME_BYTES);
      listener.onEstablished(this);
    }
    flush();
  }

  private boolean writeAll() throws IOException {
    while (true) {
      if (partlyWritten == null) {
        partlyWritten = nextToWrite();
      }
      if (partlyWritten == null) {
        return true;
      }
      channel.write(partlyWritten);
      if (partlyWritten.hasRemaining()) {
        return false;
      }
      partlyWritten = null;
    }
  }

  private ByteBuffer nextToWrite() {
    ByteBuffer first = controlFrames.poll();
    if (first != null || !handshake.isDone()) {
      return first;
    }
    return queue.poll();
  }

  private void setInterest(int operation, boolean wanted) {
    int before = key.interestOps();
    int after = wanted ? before | operation : before & ~operation;
    if (after != before) {
      key.interestOps(after);
    }
  }
}
