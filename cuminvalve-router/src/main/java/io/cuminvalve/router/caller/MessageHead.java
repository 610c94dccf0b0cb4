package io.cuminvalve.router.caller;

import java.util.Locale;
import java.util.Set;

/**
 * What the head of a request tells about where the request ends.
 *
 * <p>Reads the strict grammar only: whatever a lenient parser might take differently is {@link
 * Kind#UNKNOWN}, so that nothing behind it is taken for a request.
 *
 * @param kind how the request may be handled; not null
 * @param bodyBytes the length of the body; 0 if there is none
 */
record MessageHead(Kind kind, long bodyBytes) {

  /** How a request may be handled beside others of its connection. */
  enum Kind {
    /** A safe request without a body, which may be handled beside other safe ones. */
    SAFE,
    /** A request that is handled alone, and whose end is known. */
    ALONE,
    /** The end of the request is not known, or the connection ends with it. */
    UNKNOWN
  }

  private static final MessageHead UNKNOWN = new MessageHead(Kind.UNKNOWN, 0);
  private static final byte[] END = {'\r', '\n', '\r', '\n'};
  private static final String LINE_END = "\r\n";
  private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD");

  /** Methods after which the connection may speak another protocol. */
  private static final Set<String> SWITCHING_METHODS = Set.of("CONNECT", "PRI");

  /** Fields that change how the request or the connection goes on. */
  private static final Set<String> FRAMING_FIELDS =
      Set.of("transfer-encoding", "expect", "upgrade", "http2-settings", "te", "trailer");

  private static final int MAX_LENGTH_DIGITS = 15;
  private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";

  /**
   * Advances the search for the empty line that ends a head.
   *
   * @param matched how many bytes of the end have been seen; 0 to 3
   * @param next the next byte
   * @return how many bytes of the end have been seen now; 4 if the head is complete
   */
  static int matchEnd(int matched, byte next) {
    if (next == END[matched]) {
      return matched + 1;
    }
    return next == '\r' ? 1 : 0;
  }

  /** Returns how many bytes end a head. */
  static int endLength() {
    return END.length;
  }

  /**
   * Reads a complete head.
   *
   * @param text the head up to and including the empty line, a character for each byte; not null
   * @return never null
   */
  static MessageHead of(String text) {
    if (!text.endsWith("\r\n\r\n")) {
      return UNKNOWN;
    }
    int lineEnd = text.indexOf(LINE_END);
    String method = methodOf(text.substring(0, lineEnd));
    if (method.isEmpty() || SWITCHING_METHODS.contains(method)) {
      return UNKNOWN;
    }
    long length = -1;
    int fieldsEnd = text.length() - LINE_END.length();
    for (int start = lineEnd + LINE_END.length(); start < fieldsEnd; ) {
      int end = text.indexOf(LINE_END, start);
      String line = text.substring(start, end);
      start = end + LINE_END.length();
      int colon = line.indexOf(':');
      if (!isFieldLine(line, colon)) {
        return UNKNOWN;
      }
      String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
      String value = line.substring(colon + 1).strip();
      boolean endsOrSwitches = name.equals("connection") && !value.equalsIgnoreCase("keep-alive");
      if (FRAMING_FIELDS.contains(name) || endsOrSwitches) {
        return UNKNOWN;
      }
      if (name.equals("content-length")) {
        if (length >= 0 || !isLength(value)) {
          return UNKNOWN;
        }
        length = Long.parseLong(value);
      }
    }
    boolean safe = SAFE_METHODS.contains(method) && length <= 0;
    return new MessageHead(safe ? Kind.SAFE : Kind.ALONE, Math.max(0, length));
  }

  /** Returns the method of a request line; empty if the line is not strictly one of HTTP/1.1. */
  private static String methodOf(String line) {
    String[] parts = line.split(" ", -1);
    boolean valid =
        parts.length == 3
            && isToken(parts[0])
            && !parts[1].isEmpty()
            && parts[1].chars().allMatch(c -> c > ' ' && c < 0x7f)
            && parts[2].equals("HTTP/1.1");
    return valid ? parts[0] : "";
  }

  private static boolean isFieldLine(String line, int colon) {
    return colon > 0
        && isToken(line.substring(0, colon))
        && line.chars().allMatch(c -> c == '\t' || (c >= ' ' && c < 0x7f));
  }

  private static boolean isToken(String text) {
    return !text.isEmpty()
        && text.chars()
            .allMatch(
                c ->
                    (c >= 'a' && c <= 'z')
                        || (c >= 'A' && c <= 'Z')
                        || (c >= '0' && c <= '9')
                        || TOKEN_MARKS.indexOf(c) >= 0);
  }

  private static boolean isLength(String value) {
    return !value.isEmpty()
        && value.length() <= MAX_LENGTH_DIGITS
        && value.chars().allMatch(c -> c >= '0' && c <= '9');
  }
}
