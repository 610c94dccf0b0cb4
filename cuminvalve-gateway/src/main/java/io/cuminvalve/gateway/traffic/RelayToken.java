package io.cuminvalve.gateway.traffic;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.kernel.SharedKey;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Proves that a relayed request comes from a gateway of the fleet, without the shared key. */
final class RelayToken {

  private static final String ALGORITHM = "HmacSHA256";
  private static final String LABEL = "cuminvalve relay";

  private final String value;

  RelayToken(SharedKey key) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key.bytes(), ALGORITHM));
      byte[] code = mac.doFinal(LABEL.getBytes(StandardCharsets.UTF_8));
      this.value = HexFormat.of().formatHex(code);
    } catch (GeneralSecurityException impossible) {
      throw new CodedException(ErrorCode.INTERNAL, "no " + ALGORITHM, impossible);
    }
  }

  /** Returns the token to send. */
  String value() {
    return value;
  }

  /** Checks a presented token, which may be null, in a time independent of its content. */
  boolean matches(String presented) {
    return presented != null
        && MessageDigest.isEqual(
            value.getBytes(StandardCharsets.UTF_8), presented.getBytes(StandardCharsets.UTF_8));
  }
}
