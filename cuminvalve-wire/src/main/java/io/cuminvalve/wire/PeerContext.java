package io.cuminvalve.wire;

import io.cuminvalve.core.protocol.Heartbeat;
import io.cuminvalve.core.protocol.HeartbeatReply;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.wire.internal.FrameDecoder;
import io.cuminvalve.wire.internal.Handshake;
import io.cuminvalve.wire.internal.OutboundQueue;
import io.cuminvalve.wire.internal.Reactor;
import java.security.SecureRandom;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;

/**
 * State and services shared by the links and inbound connections of one peer network.
 *
 * @since 0.1
 */
final class PeerContext {

  private final PeerNetworkSettings settings;
  private final PeerHandler handler;
  private final Executor executor;
  private final MillisClock clock;
  private final Reactor reactor;
  private final RecordCodec codec = new RecordCodec();
  private final SecureRandom random = new SecureRandom();
  private final AtomicLong sentCount = new AtomicLong();
  private final AtomicLong receivedCount = new AtomicLong();
  private final AtomicLong droppedCount = new AtomicLong();
  private final AtomicLong rejectedCount = new AtomicLong();
  private volatile EncodedMessage lastEncoded = new EncodedMessage(null, new byte[0]);

  PeerContext(
      PeerNetworkSettings settings,
      PeerHandler handler,
      Executor executor,
      MillisClock clock,
      Reactor reactor) {
    this.settings = settings;
    this.handler = handler;
    this.executor = executor;
    this.clock = clock;
    this.reactor = reactor;
  }

  PeerNetworkSettings settings() {
    return settings;
  }

  Executor executor() {
    return executor;
  }

  MillisClock clock() {
    return clock;
  }

  Reactor reactor() {
    return reactor;
  }

  Handshake clientHandshake(String ownAddress) {
    return Handshake.ofClient(settings.sharedKey(), nonce(), ownAddress);
  }

  Handshake serverHandshake() {
    return Handshake.ofServer(settings.sharedKey(), nonce());
  }

  void enqueue(OutboundQueue queue, PeerMessage message) {
    boolean replaceable = message instanceof Heartbeat || message instanceof HeartbeatReply;
    queue.add(encodeFrame(message), replaceable);
    sentCount.incrementAndGet();
  }

  PeerMessage decode(byte[] frame) {
    receivedCount.incrementAndGet();
    return codec.decodeMessage(frame);
  }

  void handle(PeerChannel sender, PeerMessage message) {
    handler.onMessage(sender, message);
  }

  void countRejected() {
    rejectedCount.incrementAndGet();
  }

  void countDropped(OutboundQueue queue) {
    droppedCount.addAndGet(queue.droppedCount());
  }

  PeerNetworkCounters counters(long droppedNow, int links, int inbound) {
    return new PeerNetworkCounters(
        sentCount.get(),
        receivedCount.get(),
        droppedCount.get() + droppedNow,
        rejectedCount.get(),
        links,
        inbound);
  }

  /**
   * Returns the encoded frame of a message. The last frame is cached, so that a message sent to
   * several peers in succession is encoded once; shard tables are large.
   */
  private byte[] encodeFrame(PeerMessage message) {
    EncodedMessage last = lastEncoded;
    if (last.message() == message) {
      return last.frame();
    }
    byte[] frame = FrameDecoder.frame(codec.encodeMessage(message));
    lastEncoded = new EncodedMessage(message, frame);
    return frame;
  }

  private byte[] nonce() {
    byte[] nonce = new byte[Handshake.NONCE_BYTES];
    random.nextBytes(nonce);
    return nonce;
  }

  /** A message and its encoded frame, which is never modified. */
  private record EncodedMessage(PeerMessage message, byte[] frame) {}
}
