package io.cuminvalve.core.quarantine;

/**
 * The fingerprints by which a repeated request is recognised.
 *
 * <p>Both are tracked: several callers may send the same content while only one of them sends it in
 * a harmful way, and a caller may return under a different address.
 *
 * @param content fingerprint of the content; not null
 * @param contentAndCaller fingerprint of the content and the caller; not null
 * @since 0.2
 */
public record RequestIdentity(RequestFingerprint content, RequestFingerprint contentAndCaller) {

  /** Returns both fingerprints, for the log. */
  @Override
  public String toString() {
    return content + "." + contentAndCaller;
  }
}
