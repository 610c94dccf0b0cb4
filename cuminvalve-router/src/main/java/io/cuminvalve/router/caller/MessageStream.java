package io.cuminvalve.router.caller;

import io.cuminvalve.router.caller.MessageHead.Kind;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Follows the requests in the bytes of a connection, so that they can be passed on one by one.
 *
 * <p>After a request whose end it does not know, it passes on all bytes and looks for no further
 * request. Not safe for use by several threads.
 */
final class MessageStream {

  /** Longer heads than those of common requests are left to the server. */
  static final int MAX_HEAD_BYTES = 8 * 1024;

  private final ByteArrayOutputStream head = new ByteArrayOutputStream(0);
  private int matched;
  private long bodyLeftBytes;
  private Kind last = Kind.ALONE;

  /** Returns whether the end of the last request is known. */
  boolean isFollowed() {
    return last != Kind.UNKNOWN;
  }

  /** Returns whether the next byte is the first one of a request. */
  boolean isAtStart() {
    return isFollowed() && head.size() == 0 && bodyLeftBytes == 0;
  }

  /** Returns whether the last request that was passed on completely is a safe one. */
  boolean isBehindSafe() {
    return isAtStart() && last == Kind.SAFE;
  }

  /** Returns whether this many bytes of the stream belong to no later request, if read now. */
  boolean belongsToLast(int bytes) {
    return !isFollowed() || (head.size() == 0 && bodyLeftBytes >= bytes);
  }

  /** Bytes that belong to the last request were passed on. */
  void onPassed(int bytes) {
    if (isFollowed()) {
      bodyLeftBytes -= bytes;
    }
  }

  /**
   * Passes bytes on, up to the end of the head or body that they belong to.
   *
   * @param from the bytes that have been read; not null
   * @param to takes them, in flush mode; not null
   * @return the number of bytes that were passed on
   */
  int pass(ByteBuffer from, ByteBuffer to) {
    int room = BufferUtil.hasContent(to) ? BufferUtil.space(to) : to.capacity();
    int count = Math.min(room, from.remaining());
    if (!isFollowed()) {
      return move(from, to, count);
    }
    if (bodyLeftBytes > 0) {
      int moved = move(from, to, (int) Math.min(count, bodyLeftBytes));
      bodyLeftBytes -= moved;
      return moved;
    }
    return move(from, to, followHead(from, count));
  }

  /** Returns how many of the next bytes belong to the head. */
  private int followHead(ByteBuffer from, int count) {
    for (int i = 0; i < count; i++) {
      if (head.size() == MAX_HEAD_BYTES) {
        last = Kind.UNKNOWN;
        return count;
      }
      byte next = from.get(from.position() + i);
      head.write(next);
      matched = MessageHead.matchEnd(matched, next);
      if (matched == MessageHead.endLength()) {
        MessageHead complete = MessageHead.of(head.toString(StandardCharsets.ISO_8859_1));
        last = complete.kind();
        bodyLeftBytes = complete.bodyBytes();
        head.reset();
        matched = 0;
        return i + 1;
      }
    }
    return count;
  }

  private static int move(ByteBuffer from, ByteBuffer to, int count) {
    ByteBuffer part = from.slice(from.position(), count);
    int moved = BufferUtil.append(to, part);
    from.position(from.position() + moved);
    return moved;
  }

  /**
   * Takes the next request, if it is a safe one whose head has been read completely.
   *
   * @param from the bytes that have been read, from the first one of a request; not null
   * @return its head; empty if the bytes are to be passed on instead; never null
   */
  static Optional<byte[]> takeSafe(ByteBuffer from) {
    int matched = 0;
    int most = Math.min(from.remaining(), MAX_HEAD_BYTES);
    for (int i = 0; i < most; i++) {
      matched = MessageHead.matchEnd(matched, from.get(from.position() + i));
      if (matched == MessageHead.endLength()) {
        byte[] bytes = new byte[i + 1];
        from.get(from.position(), bytes);
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        if (MessageHead.of(text).kind() != Kind.SAFE) {
          return Optional.empty();
        }
        from.position(from.position() + bytes.length);
        return Optional.of(bytes);
      }
    }
    return Optional.empty();
  }
}
