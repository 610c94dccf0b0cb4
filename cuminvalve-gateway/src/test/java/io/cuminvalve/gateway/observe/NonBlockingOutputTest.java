package io.cuminvalve.gateway.observe;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.io.OutputStream;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

class NonBlockingOutputTest {

  @Test
  void bytesArriveInOrder() throws InterruptedException {
    ByteArrayOutputStream reader = new ByteArrayOutputStream();
    NonBlockingOutput output = new NonBlockingOutput(reader, 1_000);
    for (int i = 0; i < 10; i++) {
      write(output, i + ";");
    }
    while (reader.toString(UTF_8).length() < 20) {
      Thread.onSpinWait();
    }
    assertThat(reader.toString(UTF_8)).isEqualTo("0;1;2;3;4;5;6;7;8;9;");
  }

  @Test
  void blockedReaderNeitherBlocksWritersNorFillsMemory() throws InterruptedException {
    BlockedReader reader = new BlockedReader();
    NonBlockingOutput output = new NonBlockingOutput(reader, 100);
    write(output, "first;");
    reader.reached.await();
    for (int i = 0; i < 1_000; i++) {
      write(output, "0123456789");
    }
    assertThat(output.droppedBytes()).isEqualTo(9_900);
    reader.released.countDown();
    output.drain(10_000);
    write(output, "last;");
    while (!reader.received.toString(UTF_8).endsWith("last;")) {
      Thread.onSpinWait();
    }
    assertThat(reader.received.toString(UTF_8)).contains("event=log_dropped bytes=9900\n");
  }

  private static void write(NonBlockingOutput output, String text) {
    byte[] bytes = text.getBytes(UTF_8);
    output.write(bytes, 0, bytes.length);
  }

  /** A stream that blocks until it is released. */
  private static final class BlockedReader extends OutputStream {

    private final CountDownLatch reached = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();

    @Override
    public void write(int single) {
      received.write(single);
    }

    @Override
    public void write(byte[] source, int offset, int length) throws IOException {
      reached.countDown();
      try {
        released.await();
      } catch (InterruptedException interrupt) {
        throw new InterruptedIOException();
      }
      received.write(source, offset, length);
    }
  }
}
