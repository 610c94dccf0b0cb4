package io.cuminvalve.core.quarantine;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.OptionalInt;

/**
 * Identifies what a request asks for, whoever takes it and however often it comes.
 *
 * <p>Attempts have ids of their own, so the id of one says nothing of the next. Two requests have
 * the same fingerprint if method, host, path, query, key and body are the same; two others share it
 * by chance once in 2^64.
 *
 * @param value the hash
 * @since 0.2
 */
public record RequestFingerprint(long value) {

  private static final Hasher64 HASHER = Hashing.xxh3_64();

  private static final int NO_KEY = -1;

  /**
   * Returns the fingerprint of a request.
   *
   * @param method the HTTP method; not null
   * @param host the host that it names; not null
   * @param pathAndQuery path and query, as they are sent on; not null
   * @param key its key, if its service has keys; not null
   * @param body the body; empty if there is none; not null
   * @return never null
   */
  public static RequestFingerprint of(
      String method, String host, String pathAndQuery, OptionalInt key, byte[] body) {
    HashStream64 stream = HASHER.hashStream();
    stream.putString(method);
    stream.putString(host);
    stream.putString(pathAndQuery);
    stream.putInt(key.orElse(NO_KEY));
    stream.putByteArray(body);
    return new RequestFingerprint(stream.getAsLong());
  }

  /**
   * Returns the fingerprint of the same request by one caller.
   *
   * @param caller identifies the caller; not null
   * @return another fingerprint; never null
   */
  public RequestFingerprint by(String caller) {
    return new RequestFingerprint(HASHER.hashStream().putLong(value).putString(caller).getAsLong());
  }

  /** Returns 16 hexadecimal digits. */
  @Override
  public String toString() {
    return String.format("%016x", value);
  }
}
