package io.cuminvalve.wire.internal;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.kernel.SharedKey;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;

/**
 * Mutual authentication of a new connection by means of the shared key.
 *
 * <p>The client sends its protocol version, nonce and address. The server answers with its own
 * nonce and its authentication code, and the client answers with its code. A code is the
 * HMAC-SHA-256 of the role of the sender, both nonces and the client's address, so that codes can
 * be neither replayed nor reflected. Not thread-safe.
 *
 * @since 0.1
 */
public final class Handshake {

  /** The maximum length of the content of a handshake frame, in bytes. */
  public static final int MAX_FRAME_BYTES = 512;

  /** The length of a nonce, in bytes. */
  public static final int NONCE_BYTES = 32;

  private static final int PROTOCOL_VERSION = 1;
  private static final String ALGORITHM = "HmacSHA256";
  private static final String CLIENT = "client";
  private static final String SERVER = "server";

  private final SharedKey key;
  private final boolean client;
  private final byte[] ownNonce;
  private String clientAddress;
  private byte[] peerNonce = new byte[0];
  private Step step;

  private Handshake(SharedKey key, boolean client, byte[] ownNonce, String clientAddress) {
    this.key = key;
    this.client = client;
    this.ownNonce = ownNonce.clone();
    this.clientAddress = clientAddress;
    this.step = client ? Step.AWAIT_SERVER_CODE : Step.AWAIT_HELLO;
  }

  /**
   * Creates the client side.
   *
   * @param key the shared key; not null
   * @param nonce drawn at random for this connection; not null
   * @param address the address of the client's own listener; not null
   * @return never null
   */
  public static Handshake ofClient(SharedKey key, byte[] nonce, String address) {
    return new Handshake(key, true, nonce, address);
  }

  /**
   * Creates the server side.
   *
   * @param key the shared key; not null
   * @param nonce drawn at random for this connection; not null
   * @return never null
   */
  public static Handshake ofServer(SharedKey key, byte[] nonce) {
    return new Handshake(key, false, nonce, "");
  }

  /**
   * Returns the first frame of the client.
   *
   * @return the content of the frame
   */
  public byte[] hello() {
    return pack(
        packer -> {
          packer.packArrayHeader(3);
          packer.packInt(PROTOCOL_VERSION);
          packer.packBinaryHeader(ownNonce.length);
          packer.writePayload(ownNonce);
          packer.packString(clientAddress);
        });
  }

  /**
   * Handles a frame from the peer.
   *
   * @param frame the content of the frame; not null
   * @return the content of the reply, or empty if there is none
   * @throws CodedException with code PROTOCOL if the frame is invalid or authentication fails
   */
  public Optional<byte[]> onFrame(byte[] frame) {
    try (ValueReader reader = new ValueReader(frame)) {
      Optional<byte[]> reply =
          switch (step) {
            case AWAIT_HELLO -> Optional.of(onHello(reader));
            case AWAIT_SERVER_CODE -> Optional.of(onServerCode(reader));
            case AWAIT_CLIENT_CODE -> onClientCode(reader);
            case DONE ->
                throw new CodedException(ErrorCode.PROTOCOL, "handshake is already complete");
          };
      reader.expectEnd();
      return reply;
    } catch (IOException | MessagePackException malformed) {
      throw new CodedException(ErrorCode.PROTOCOL, "malformed handshake", malformed);
    }
  }

  /**
   * Returns whether the peer is authenticated.
   *
   * @return true once the handshake is complete
   */
  public boolean isDone() {
    return step == Step.DONE;
  }

  /**
   * Returns the address of the client's own listener; authenticated once the handshake is complete.
   *
   * @return IP address and port, never null
   */
  public String clientAddress() {
    return clientAddress;
  }

  private byte[] onHello(ValueReader reader) throws IOException {
    reader.expectArray(3);
    int version = reader.readInt();
    if (version != PROTOCOL_VERSION) {
      throw new CodedException(ErrorCode.PROTOCOL, "unsupported protocol version " + version);
    }
    peerNonce = readNonce(reader);
    clientAddress = reader.readString();
    step = Step.AWAIT_CLIENT_CODE;
    byte[] code = code(SERVER);
    return pack(
        packer -> {
          packer.packArrayHeader(2);
          packer.packBinaryHeader(ownNonce.length);
          packer.writePayload(ownNonce);
          packer.packBinaryHeader(code.length);
          packer.writePayload(code);
        });
  }

  private byte[] onServerCode(ValueReader reader) throws IOException {
    reader.expectArray(2);
    peerNonce = readNonce(reader);
    verifyCode(SERVER, reader.readBytes());
    step = Step.DONE;
    byte[] code = code(CLIENT);
    return pack(
        packer -> {
          packer.packArrayHeader(1);
          packer.packBinaryHeader(code.length);
          packer.writePayload(code);
        });
  }

  private Optional<byte[]> onClientCode(ValueReader reader) throws IOException {
    reader.expectArray(1);
    verifyCode(CLIENT, reader.readBytes());
    step = Step.DONE;
    return Optional.empty();
  }

  private byte[] readNonce(ValueReader reader) throws IOException {
    byte[] nonce = reader.readBytes();
    if (nonce.length != NONCE_BYTES || Arrays.equals(nonce, ownNonce)) {
      throw new CodedException(ErrorCode.PROTOCOL, "invalid nonce");
    }
    return nonce;
  }

  private void verifyCode(String side, byte[] presented) {
    if (!MessageDigest.isEqual(code(side), presented)) {
      throw new CodedException(ErrorCode.PROTOCOL, "the peer does not have the shared key");
    }
  }

  private byte[] code(String side) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key.bytes(), ALGORITHM));
      mac.update(side.getBytes(StandardCharsets.UTF_8));
      mac.update(client ? ownNonce : peerNonce);
      mac.update(client ? peerNonce : ownNonce);
      return mac.doFinal(clientAddress.getBytes(StandardCharsets.UTF_8));
    } catch (GeneralSecurityException missing) {
      throw new CodedException(ErrorCode.INTERNAL, ALGORITHM + " is not available", missing);
    }
  }

  private static byte[] pack(Packing packing) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packing.into(packer);
      return packer.toByteArray();
    } catch (IOException impossible) {
      throw new CodedException(ErrorCode.INTERNAL, "cannot encode handshake frame", impossible);
    }
  }

  /** The frame expected next from the peer. */
  private enum Step {
    AWAIT_HELLO,
    AWAIT_SERVER_CODE,
    AWAIT_CLIENT_CODE,
    DONE
  }

  /** Writes values to a packer. */
  @FunctionalInterface
  private interface Packing {
    void into(MessageBufferPacker packer) throws IOException;
  }
}
