package io.cuminvalve.wire.internal;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.kernel.SharedKey;
import java.util.Arrays;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

class HandshakeTest {

  private static final SharedKey KEY = new SharedKey("0123456789abcdef");
  private static final SharedKey OTHER_KEY = new SharedKey("0123456789abcdeX");
  private static final String ADDRESS = "127.0.0.1:7001";

  @Test
  void bothSidesAuthenticate() {
    Handshake client = Handshake.ofClient(KEY, nonce(1), ADDRESS);
    Handshake server = Handshake.ofServer(KEY, nonce(2));
    byte[] serverCode = server.onFrame(client.hello()).get();
    assertThat(server.isDone()).isFalse();
    byte[] clientCode = client.onFrame(serverCode).get();
    assertThat(client.isDone()).isTrue();
    assertThat(server.onFrame(clientCode)).isEqualTo(Optional.empty());
    assertThat(server.isDone()).isTrue();
    assertThat(server.clientAddress()).isEqualTo(ADDRESS);
  }

  @Test
  void clientRejectsServerWithOtherKey() {
    Handshake client = Handshake.ofClient(KEY, nonce(1), ADDRESS);
    byte[] code = Handshake.ofServer(OTHER_KEY, nonce(2)).onFrame(client.hello()).get();
    assertRejected(client, code);
  }

  @Test
  void serverRejectsReplayedAndReflectedCodes() {
    Handshake server = Handshake.ofServer(KEY, nonce(2));
    byte[] serverCode = server.onFrame(hello(KEY)).get();
    // A code of a client with the right key, replayed from another connection of the server.
    Handshake replayed = Handshake.ofClient(KEY, nonce(1), ADDRESS);
    byte[] oldCode =
        replayed.onFrame(Handshake.ofServer(KEY, nonce(3)).onFrame(hello(KEY)).get()).get();
    assertRejected(server, oldCode);
    assertRejected(server, serverCode);
  }

  @Test
  void codeCoversClientAddress() {
    Handshake server = Handshake.ofServer(KEY, nonce(2));
    byte[] serverCode =
        server.onFrame(Handshake.ofClient(KEY, nonce(1), "127.0.0.1:1").hello()).get();
    Handshake client = Handshake.ofClient(KEY, nonce(1), "127.0.0.1:2");
    assertRejected(client, serverCode);
  }

  @Test
  void reflectedNonceIsRejected() {
    assertRejected(Handshake.ofServer(KEY, nonce(1)), hello(KEY));
  }

  @Test
  void corruptedFramesNeverAuthenticate() {
    Random random = new Random(11);
    for (int i = 0; i < 5000; i++) {
      Handshake server = Handshake.ofServer(KEY, nonce(2));
      byte[] hello = hello(KEY);
      hello[random.nextInt(hello.length)] ^= (byte) (1 + random.nextInt(255));
      byte[] garbage = new byte[random.nextInt(Handshake.MAX_FRAME_BYTES)];
      random.nextBytes(garbage);
      try {
        server.onFrame(hello);
        server.onFrame(garbage);
      } catch (CodedException expected) {
        assertThat(expected.code()).isEqualTo(ErrorCode.PROTOCOL);
      }
      assertThat(server.isDone()).isFalse();
    }
  }

  private static byte[] hello(SharedKey key) {
    return Handshake.ofClient(key, nonce(1), ADDRESS).hello();
  }

  private static void assertRejected(Handshake side, byte[] frame) {
    CodedException error = assertThrows(CodedException.class, () -> side.onFrame(frame));
    assertThat(error.code()).isEqualTo(ErrorCode.PROTOCOL);
    assertThat(side.isDone()).isFalse();
  }

  private static byte[] nonce(int fill) {
    byte[] nonce = new byte[Handshake.NONCE_BYTES];
    Arrays.fill(nonce, (byte) fill);
    return nonce;
  }
}
