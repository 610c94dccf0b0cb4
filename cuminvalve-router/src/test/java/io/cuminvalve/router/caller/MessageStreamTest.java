package io.cuminvalve.router.caller;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.router.caller.MessageHead.Kind;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.eclipse.jetty.util.BufferUtil;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Where requests end in the bytes of a connection. */
class MessageStreamTest {

  private static final String GET = "GET /a?b=c HTTP/1.1\r\nHost: h\r\nX-A: b c\r\n\r\n";
  private static final String HEAD = "HEAD / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
  private static final String POST =
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\n\r\n\r\nab";

  @ParameterizedTest
  @ValueSource(strings = {GET, HEAD, "GET / HTTP/1.1\r\nConnection: Keep-Alive\r\n\r\n"})
  void safeRequestsAreTaken(String head) {
    ByteBuffer from = bytes(head + POST);
    assertThat(text(MessageStream.takeSafe(from))).isEqualTo(head);
    assertThat(from.remaining()).isEqualTo(POST.length());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET / HTTP/1.0\r\n\r\n",
        "GET / HTTP/1.1\r\nConnection: close\r\n\r\n",
        "GET / HTTP/1.1\r\nConnection: keep-alive, close\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: 1\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: +0\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length:\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: 0, 0\r\n\r\n",
        "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "GET / HTTP/1.1\r\ntransfer-encoding : chunked\r\n\r\n",
        "GET / HTTP/1.1\r\nExpect: 100-continue\r\n\r\n",
        "GET / HTTP/1.1\r\nUpgrade: h2c\r\n\r\n",
        "GET / HTTP/1.1\r\nX: a\r\n b\r\n\r\n",
        "GET / HTTP/1.1\r\nX: a\nY: b\r\n\r\n",
        "GET / HTTP/1.1\r\nX: a\rY: b\r\n\r\n",
        "GET / HTTP/1.1\r\nX: a\0b\r\n\r\n",
        "GET / HTTP/1.1\r\nX: é\r\n\r\n",
        "GET / HTTP/1.1\r\nno colon\r\n\r\n",
        "GET / HTTP/1.1\r\n: no name\r\n\r\n",
        "GET  / HTTP/1.1\r\n\r\n",
        "GET /a b HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1 \r\n\r\n",
        "GET / HTTP/1.1\r\r\n\r\n",
        "get / HTTP/1.1\r\n\r\n",
        "\r\nGET / HTTP/1.1\r\n\r\n",
        "\r\n\r\nGET / HTTP/1.1\r\n\r\n",
        "POST / HTTP/1.1\r\n\r\n",
        "DELETE / HTTP/1.1\r\n\r\n",
        "PRI * HTTP/2.0\r\n\r\n",
        "GET / HTTP/1.1\nHost: h\n\n",
        "GET / HTTP/1.1\r\nHost: h\r\n",
        ""
      })
  void othersAreLeftWhereTheyAre(String head) {
    ByteBuffer from = bytes(head);
    assertThat(MessageStream.takeSafe(from)).isEmpty();
    assertThat(from.remaining()).isEqualTo(head.length());
  }

  @Test
  void longHeadsAreLeft() {
    String start = "GET / HTTP/1.1\r\nX: ";
    int room = MessageStream.MAX_HEAD_BYTES - start.length() - 4;
    String longest = start + "x".repeat(room) + "\r\n\r\n";
    assertThat(text(MessageStream.takeSafe(bytes(longest)))).isEqualTo(longest);
    assertThat(MessageStream.takeSafe(bytes(start + "x".repeat(room + 1) + "\r\n\r\n"))).isEmpty();
  }

  /** After a request whose end is not known, nothing is taken for a request. */
  @Test
  void unknownEndsAreNotGuessed() {
    String chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    MessageStream stream = new MessageStream();
    ByteBuffer from = bytes(chunked + GET + GET);
    assertThat(passed(stream, from, 4_096)).isEqualTo(chunked);
    assertThat(stream.isFollowed()).isFalse();
    assertThat(stream.isAtStart()).isFalse();
    assertThat(stream.belongsToLast(Integer.MAX_VALUE)).isTrue();
    assertThat(passed(stream, from, 4_096)).isEqualTo(GET + GET);
    assertThat(stream.isAtStart()).isFalse();
  }

  /** Any split of the bytes, and any room of the reader, passes on the same requests. */
  @Test
  void requestsArePassedOnOneByOneInPiecesOfAnySize() {
    for (long seed = 1; seed <= 500; seed++) {
      Random random = new Random(seed);
      List<String> sent = new ArrayList<>();
      List<Kind> kinds = new ArrayList<>();
      for (int i = 0; i < 20; i++) {
        int choice = random.nextInt(3);
        sent.add(List.of(GET, HEAD, POST).get(choice));
        kinds.add(choice == 2 ? Kind.ALONE : Kind.SAFE);
      }
      assertThat(splitAtRandom(String.join("", sent), random, kinds)).isEqualTo(sent);
    }
  }

  private static List<String> splitAtRandom(String all, Random random, List<Kind> kinds) {
    MessageStream stream = new MessageStream();
    List<String> requests = new ArrayList<>();
    StringBuilder current = new StringBuilder();
    for (int at = 0; at < all.length(); ) {
      int end = Math.min(all.length(), at + 1 + random.nextInt(120));
      ByteBuffer piece = bytes(all.substring(at, end));
      at = end;
      while (piece.hasRemaining()) {
        current.append(passed(stream, piece, 1 + random.nextInt(90)));
        if (stream.isAtStart()) {
          Kind kind = kinds.get(requests.size());
          assertThat(stream.isBehindSafe()).isEqualTo(kind == Kind.SAFE);
          requests.add(current.toString());
          current.setLength(0);
        }
      }
    }
    return requests;
  }

  private static String passed(MessageStream stream, ByteBuffer from, int roomBytes) {
    ByteBuffer to = BufferUtil.allocate(roomBytes);
    int passed = stream.pass(from, to);
    assertThat(passed).isEqualTo(to.remaining());
    return BufferUtil.toString(to, StandardCharsets.ISO_8859_1);
  }

  private static ByteBuffer bytes(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String text(Optional<byte[]> head) {
    return new String(head.orElseThrow(), StandardCharsets.ISO_8859_1);
  }
}
