package io.cuminvalve.router.target;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks what passes for a whole answer if it ends with its connection. */
class ResetAnswerTest {

  private static final String ANSWER = "HTTP/1.1 200 OK\r\n\r\npart of the body";

  private final TargetClient client =
      new TargetClient(
          new TargetClientLimits(300, 5_000, 16_384, 8, true), address -> Integer.MAX_VALUE);
  private ServerSocket target;

  @BeforeEach
  void setUp() throws IOException {
    target = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    client.start();
  }

  @AfterEach
  void tearDown() throws IOException {
    client.stop();
    target.close();
  }

  @Test
  void theEndOfTheStreamEndsTheAnswer() {
    CompletableFuture<String> body = askTarget(false);
    assertThat(body.join()).isEqualTo("part of the body");
  }

  @Test
  void theResetDoesNot() {
    CompletableFuture<String> body = askTarget(true);
    assertThat(body.handle((text, failure) -> failure != null).join()).isTrue();
  }

  private CompletableFuture<String> askTarget(boolean resets) {
    CompletableFuture<Void> received = new CompletableFuture<>();
    Thread answering = new Thread(() -> answerOnce(resets, received), "target");
    answering.setDaemon(true);
    answering.start();
    CompletableFuture<String> body = new CompletableFuture<>();
    InetSocketAddress address =
        new InetSocketAddress(target.getInetAddress(), target.getLocalPort());
    HttpFields headers = HttpFields.build().add("Host", "any");
    client
        .prepare(
            new TargetRequest(address, "GET", "/", headers, null), new Collector(body, received))
        .start();
    return body;
  }

  /** Answers, and closes or resets once the first part of the answer has been seen. */
  private void answerOnce(boolean resets, CompletableFuture<Void> received) {
    try (Socket socket = target.accept()) {
      int read = socket.getInputStream().read(new byte[4096]);
      assertThat(read).isGreaterThan(0);
      socket.getOutputStream().write(ANSWER.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().flush();
      received.join();
      if (resets) {
        socket.setSoLinger(true, 0);
      }
    } catch (IOException e) {
      received.completeExceptionally(e);
    }
  }

  /** Reads the body and tells the target when the head is there. */
  private record Collector(CompletableFuture<String> body, CompletableFuture<Void> received)
      implements TargetListener {

    @Override
    public boolean onConnection(HttpFields.Mutable headers) {
      return true;
    }

    @Override
    public void onAnswer(TargetAnswer answer) {
      received.complete(null);
      Content.Source.asStringAsync(answer.body(), StandardCharsets.US_ASCII)
          .whenComplete(
              (text, failure) -> {
                if (failure == null) {
                  body.complete(text);
                } else {
                  body.completeExceptionally(failure);
                }
              });
    }

    @Override
    public void onFailure(boolean handedOver, Throwable cause) {
      received.complete(null);
      body.completeExceptionally(cause);
    }

    @Override
    public void onReleased() {}
  }
}
