package io.cuminvalve.router.target;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a part of an answer that passes for the whole one: an answer without a length is
 * cut by a reset while the request is still being written, and the write takes the error of the
 * socket, so that the next read reports the end of the stream.
 */
class ResetDuringUploadTest {

  private static final int UPLOADS = 200;
  private static final int UPLOAD_BYTES = 4 * 1024 * 1024;
  private static final int ANSWER_BYTES = 100_000;

  /** Arrives at once, however slowly the client reads. */
  private static final int SHORT_ANSWER_BYTES = 10_000;

  private static final String WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\n\r\n";
  private static final String WITH_LENGTH =
      "HTTP/1.1 200 OK\r\nContent-Length: " + SHORT_ANSWER_BYTES + "\r\n\r\n";

  private static final int ORDERLY_UPLOADS = 20;
  private static final int MAX_HEADER_BYTES = 16_384;

  private final TargetClient client =
      new TargetClient(
          new TargetClientLimits(2_000, 5_000, MAX_HEADER_BYTES, 8, true),
          address -> Integer.MAX_VALUE);
  private ServerSocket target;

  @BeforeEach
  void setUp() throws IOException {
    target = new ServerSocket(0, UPLOADS, InetAddress.getLoopbackAddress());
    client.start();
  }

  @AfterEach
  void tearDown() throws IOException {
    client.stop();
    target.close();
  }

  @Test
  void noPartOfAnAnswerPassesForTheWhole() {
    startTarget(WITHOUT_LENGTH, ANSWER_BYTES, accepted -> accepted.setSoLinger(true, 0));
    assertWithMessage("answers that passed for whole").that(answerLengths(UPLOADS)).isEmpty();
  }

  /**
   * An answer may come before the upload has been read. The target reads all of the request:
   * closing with unread bytes would reset the connection and could discard a part of the answer.
   */
  @Test
  void answersThatEndInOrderAreWhole() {
    startTarget(
        WITHOUT_LENGTH,
        ANSWER_BYTES,
        accepted -> {
          accepted.shutdownOutput();
          accepted.getInputStream().transferTo(OutputStream.nullOutputStream());
        });
    assertThat(answerLengths(ORDERLY_UPLOADS))
        .isEqualTo(Collections.nCopies(ORDERLY_UPLOADS, ANSWER_BYTES));
  }

  /**
   * The whole answer has arrived when the unread upload makes the target reset the connection. It
   * has a length: without one, it could not be told from a part that a target sent before it ended.
   */
  @Test
  void answerIsDeliveredIfTargetClosesWithoutReadingTheUpload() {
    startTarget(WITH_LENGTH, SHORT_ANSWER_BYTES, Socket::shutdownOutput);
    assertThat(answerLengths(UPLOADS)).isEqualTo(Collections.nCopies(UPLOADS, SHORT_ANSWER_BYTES));
  }

  /** Returns the lengths of the answers that were delivered. */
  private List<Integer> answerLengths(int uploads) {
    List<Integer> lengths = new ArrayList<>();
    for (int i = 0; i < uploads; i++) {
      upload().handle((length, failure) -> failure == null && lengths.add(length)).join();
    }
    return lengths;
  }

  private CompletableFuture<Integer> upload() {
    CompletableFuture<Integer> answer = new CompletableFuture<>();
    InetSocketAddress address =
        new InetSocketAddress(target.getInetAddress(), target.getLocalPort());
    HttpFields headers =
        HttpFields.build().add("Host", "any").add("Content-Length", String.valueOf(UPLOAD_BYTES));
    BytesRequestContent body = new BytesRequestContent(new byte[UPLOAD_BYTES]);
    client
        .prepare(new TargetRequest(address, "POST", "/", headers, body), new AnswerLength(answer))
        .start();
    return answer;
  }

  private void startTarget(String head, int answerBytes, EndOfAnswer end) {
    Thread answering = new Thread(() -> answerAll(head, answerBytes, end), "target");
    answering.setDaemon(true);
    answering.start();
  }

  private void answerAll(String head, int answerBytes, EndOfAnswer end) {
    while (!target.isClosed()) {
      try (Socket accepted = target.accept()) {
        answerEarly(accepted, head, answerBytes, end);
      } catch (IOException closed) {
        // The client has given up first, or the test has ended.
      }
    }
  }

  /** Reads a little of the upload and answers. */
  private static void answerEarly(Socket accepted, String head, int answerBytes, EndOfAnswer end)
      throws IOException {
    accepted.getInputStream().skipNBytes(1);
    accepted.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
    accepted.getOutputStream().write(new byte[answerBytes]);
    end.apply(accepted);
  }

  /** How a target ends its answer; the connection is closed afterwards. */
  private interface EndOfAnswer {
    void apply(Socket accepted) throws IOException;
  }

  /** Reads the body and completes with its length. */
  private record AnswerLength(CompletableFuture<Integer> answer) implements TargetListener {

    @Override
    public boolean onConnection(HttpFields.Mutable headers) {
      return true;
    }

    @Override
    public void onAnswer(TargetAnswer received) {
      Content.Source.asByteBufferAsync(received.body())
          .whenComplete(
              (bytes, failure) -> {
                if (failure == null) {
                  answer.complete(bytes.remaining());
                } else {
                  answer.completeExceptionally(failure);
                }
              });
    }

    @Override
    public void onFailure(boolean handedOver, Throwable cause) {
      answer.completeExceptionally(cause);
    }

    @Override
    public void onReleased() {}
  }
}
