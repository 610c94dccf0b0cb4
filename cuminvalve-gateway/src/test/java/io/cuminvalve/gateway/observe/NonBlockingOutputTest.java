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
  void theReaderThatStopsBlocksNobodyAndFillsNoMemory() throws InterruptedException {
    StoppedReader reader = new StoppedReader();
    NonBlockingOutput output = new NonBlockingOutput(reader, 100);
    write(output, "first;");
    reader.reached.await();
    for (int i = 0; i < 1_000; i++) {
      write(output, "0123456789");
    }
    assertThat(output.droppedBytes()).isEqualTo(9_900);
    reader.goOn.countDown();
    output.drain(10_000);
    write(output, "last;");
    while (!reader.taken.toString(UTF_8).endsWith("last;")) {
      Thread.onSpinWait();
    }
    assertThat(reader.taken.toString(UTF_8)).contains("event=log_dropped bytes=9900\n");
  }

  private static void write(NonBlockingOutput output, String text) {
    byte[] bytes = text.getBytes(UTF_8);
    output.write(bytes, 0, bytes.length);
  }

  /** Takes nothing until it may go on. */
  private static final class StoppedReader extends OutputStream {

    private final CountDownLatch reached = new CountDownLatch(1);
    private final CountDownLatch goOn = new CountDownLatch(1);
    private final ByteArrayOutputStream taken = new ByteArrayOutputStream();

    @Override
    public void write(int single) {
      taken.write(single);
    }

    @Override
    public void write(byte[] source, int offset, int length) throws IOException {
      reached.countDown();
      try {
        goOn.await();
      } catch (InterruptedException interrupt) {
        throw new InterruptedIOException();
      }
      taken.write(source, offset, length);
    }
  }
}
