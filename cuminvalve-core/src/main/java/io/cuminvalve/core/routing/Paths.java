package io.cuminvalve.core.routing;

/**
 * Parses the segments of raw paths without allocation.
 *
 * @since 0.1
 */
final class Paths {

  private static final int HEX_RADIX = 16;
  private static final int FIRST_NON_ASCII = 0x80;

  private Paths() {}

  /** Returns the end index of the path, before any query or fragment. */
  static int end(String path) {
    for (int i = 0; i < path.length(); i++) {
      char c = path.charAt(i);
      if (c == '?' || c == '#') {
        return i;
      }
    }
    return path.length();
  }

  /** Returns the number of segments; the root path has none. */
  static int countSegments(String path, int end) {
    int count = 0;
    for (int i = 0; i < end; i++) {
      if (path.charAt(i) == '/') {
        count++;
      }
    }
    return end == 1 && count == 1 ? 0 : count;
  }

  /** Returns the end index of the segment that starts at the given index. */
  static int segmentEnd(String path, int start, int end) {
    int i = start;
    while (i < end && path.charAt(i) != '/') {
      i++;
    }
    return i;
  }

  /** Returns whether a segment contains percent-encoded characters. */
  static boolean isEncoded(String path, int start, int end) {
    for (int i = start; i < end; i++) {
      if (path.charAt(i) == '%') {
        return true;
      }
    }
    return false;
  }

  /**
   * Decodes a segment, so that all encodings of a key map to the same owner. Non-ASCII octets
   * remain encoded, in upper case.
   *
   * @return the decoded text, or null if the encoding is malformed
   */
  static String decode(String path, int start, int end) {
    StringBuilder decoded = new StringBuilder(end - start);
    int i = start;
    while (i < end) {
      char c = path.charAt(i);
      if (c != '%') {
        decoded.append(c);
        i++;
        continue;
      }
      if (i + 2 >= end) {
        return null;
      }
      int high = Character.digit(path.charAt(i + 1), HEX_RADIX);
      int low = Character.digit(path.charAt(i + 2), HEX_RADIX);
      if (high < 0 || low < 0) {
        return null;
      }
      append(decoded, high * HEX_RADIX + low);
      i += 3;
    }
    return decoded.toString();
  }

  private static void append(StringBuilder decoded, int octet) {
    if (octet < FIRST_NON_ASCII) {
      decoded.append((char) octet);
      return;
    }
    decoded.append('%');
    decoded.append(Character.toUpperCase(Character.forDigit(octet / HEX_RADIX, HEX_RADIX)));
    decoded.append(Character.toUpperCase(Character.forDigit(octet % HEX_RADIX, HEX_RADIX)));
  }
}
