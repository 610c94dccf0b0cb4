package io.cuminvalve.core.quarantine;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;
import java.util.OptionalInt;

/**
 * Identifies the content of a request, independent of the target that handles it and of retries.
 *
 * <p>Each attempt has its own id, so attempt ids cannot correlate retries. Two requests have the
 * same fingerprint if their method, host, path, query, key and body are equal; two different
 * requests collide with a probability of 2^-64.
 *
 * @param value the hash
 * @since 0.2
 */
public record RequestFingerprint(long value) {

  private static final Hasher64 HASHER = Hashing.xxh3_64();

  private static final int NO_KEY = -1;

  /**
   * Returns the fingerprint of a request whose body is in one piece.
   *
   * @param method the HTTP method; not null
   * @param host the requested host; not null
   * @param pathAndQuery path and query as forwarded to the target; not null
   * @param key the key, if the service is keyed; not null
   * @param body the body; empty if there is none; not null
   * @return never null
   */
  public static RequestFingerprint of(
      String method, String host, String pathAndQuery, OptionalInt key, byte[] body) {
    return of(method, host, pathAndQuery, key, List.of(body));
  }

  /**
   * Returns the fingerprint of a request.
   *
   * @param method the HTTP method; not null
   * @param host the requested host; not null
   * @param pathAndQuery path and query as forwarded to the target; not null
   * @param key the key, if the service is keyed; not null
   * @param body the body in parts of any size; empty if there is none; not null
   * @return never null
   */
  public static RequestFingerprint of(
      String method, String host, String pathAndQuery, OptionalInt key, List<byte[]> body) {
    HashStream64 stream = HASHER.hashStream();
    stream.putString(method);
    stream.putString(host);
    stream.putString(pathAndQuery);
    stream.putInt(key.orElse(NO_KEY));
    int bodyBytes = 0;
    for (byte[] part : body) {
      bodyBytes += part.length;
      stream.putBytes(part);
    }
    stream.putInt(bodyBytes);
    return new RequestFingerprint(stream.getAsLong());
  }

  /**
   * Returns the fingerprint of this request in combination with its caller.
   *
   * @param caller identifies the caller; not null
   * @return the combined fingerprint; never null
   */
  public RequestFingerprint by(String caller) {
    return new RequestFingerprint(HASHER.hashStream().putLong(value).putString(caller).getAsLong());
  }

  /** Returns the value as 16 hexadecimal digits. */
  @Override
  public String toString() {
    return String.format("%016x", value);
  }
}
