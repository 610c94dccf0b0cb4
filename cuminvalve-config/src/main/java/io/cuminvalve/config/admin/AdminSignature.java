package io.cuminvalve.config.admin;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.kernel.SharedKey;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Base64;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Proves that an admin request comes from somebody who knows the shared key, without sending it.
 *
 * <p>The header {@value #HEADER} holds {@code epochMs.signature}. The signature covers the time,
 * the method, path with query, and the body. A copy of a request is refused once it is older than
 * {@link #MAX_AGE_MS}; until then it may repeat the request, so every admin request is idempotent.
 *
 * @since 0.1
 */
public final class AdminSignature {

  /** The header that carries the proof. */
  public static final String HEADER = "Cuminvalve-Admin-Signature";

  /** How far the clocks of operator and process may differ, in milliseconds. */
  public static final long MAX_AGE_MS = 60_000;

  private static final String ALGORITHM = "HmacSHA256";
  private static final char SEPARATOR = '.';

  private AdminSignature() {}

  /**
   * Signs a request.
   *
   * @param key the shared key; not null
   * @param epochMs the time; milliseconds since 1970
   * @param method the HTTP method; not null
   * @param pathAndQuery as sent in the request line; not null
   * @param body the body, empty if there is none; not null
   * @return the value of the header
   */
  public static String sign(
      SharedKey key, long epochMs, String method, String pathAndQuery, byte[] body) {
    byte[] mac = mac(key, epochMs, method, pathAndQuery, body);
    return epochMs + "." + Base64.getUrlEncoder().withoutPadding().encodeToString(mac);
  }

  /**
   * Checks a request.
   *
   * @param key the shared key; not null
   * @param nowEpochMs the time at the receiver; milliseconds since 1970
   * @param method the HTTP method; not null
   * @param pathAndQuery as received in the request line; not null
   * @param body the body, empty if there is none; not null
   * @param header the value of the header; may be null
   * @return whether the request is fresh and its sender knows the key
   */
  public static boolean isValid(
      SharedKey key,
      long nowEpochMs,
      String method,
      String pathAndQuery,
      byte[] body,
      String header) {
    int separator = header == null ? -1 : header.indexOf(SEPARATOR);
    if (separator < 1) {
      return false;
    }
    try {
      long epochMs = Long.parseLong(header.substring(0, separator));
      byte[] given = Base64.getUrlDecoder().decode(header.substring(separator + 1));
      boolean matches = MessageDigest.isEqual(given, mac(key, epochMs, method, pathAndQuery, body));
      return matches && Math.abs(nowEpochMs - epochMs) <= MAX_AGE_MS;
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  private static byte[] mac(
      SharedKey key, long epochMs, String method, String pathAndQuery, byte[] body) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key.bytes(), ALGORITHM));
      String head = epochMs + "\n" + method + "\n" + pathAndQuery + "\n";
      mac.update(head.getBytes(StandardCharsets.UTF_8));
      return mac.doFinal(body);
    } catch (GeneralSecurityException e) {
      throw new CodedException(ErrorCode.INTERNAL, "the JDK lacks " + ALGORITHM, e);
    }
  }
}
