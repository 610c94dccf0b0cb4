package io.cuminvalve.core.quarantine;

/**
 * By what a request is recognised when it comes again.
 *
 * <p>Some callers share what they ask for with others, and only the combination with something that
 * one of them does may be harmful; other callers come back under another address. So both are
 * followed.
 *
 * @param content what is asked for; not null
 * @param contentAndCaller what is asked for, and by whom; not null
 * @since 0.2
 */
public record RequestIdentity(RequestFingerprint content, RequestFingerprint contentAndCaller) {

  /** Returns both, for the log. */
  @Override
  public String toString() {
    return content + "." + contentAndCaller;
  }
}
