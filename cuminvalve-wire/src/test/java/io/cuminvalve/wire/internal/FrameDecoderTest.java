package io.cuminvalve.wire.internal;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class FrameDecoderTest {

  @Property(seed = "42", tries = 200)
  void framesAreDecodedFromAnyChunking(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 9000) int chunkBytes) {
    Random random = new Random(seed);
    List<byte[]> frames = new ArrayList<>();
    ByteArrayOutputStream stream = new ByteArrayOutputStream();
    for (int i = 0; i < 20; i++) {
      byte[] content = new byte[random.nextInt(6000)];
      random.nextBytes(content);
      frames.add(content);
      stream.writeBytes(FrameDecoder.frame(content));
    }
    List<byte[]> read = readInChunks(stream.toByteArray(), chunkBytes);
    assertThat(read).hasSize(frames.size());
    for (int i = 0; i < frames.size(); i++) {
      assertThat(read.get(i)).isEqualTo(frames.get(i));
    }
  }

  @Test
  void declaredLengthIsNotAllocatedInAdvance() {
    FrameDecoder decoder = new FrameDecoder(FrameDecoder.MAX_FRAME_BYTES);
    ByteBuffer header = ByteBuffer.allocate(5).putInt(FrameDecoder.MAX_FRAME_BYTES).put((byte) 1);
    decoder.append(header.flip());
    assertThat(decoder.next()).isEqualTo(Optional.empty());
    assertThat(decoder.capacityBytes()).isLessThan(10_000);
  }

  @Test
  void tooLargeAndNegativeLengthsAreRejected() {
    for (int length : new int[] {513, Integer.MAX_VALUE, -1, Integer.MIN_VALUE}) {
      FrameDecoder decoder = new FrameDecoder(512);
      decoder.append(ByteBuffer.allocate(4).putInt(length).flip());
      CodedException error = assertThrows(CodedException.class, decoder::next);
      assertThat(error.code()).isEqualTo(ErrorCode.PROTOCOL);
    }
  }

  @Test
  void memoryShrinksAfterLargeFrame() {
    FrameDecoder decoder = new FrameDecoder(FrameDecoder.MAX_FRAME_BYTES);
    decoder.append(ByteBuffer.wrap(FrameDecoder.frame(new byte[1_000_000])));
    assertThat(decoder.next().get()).hasLength(1_000_000);
    decoder.append(ByteBuffer.wrap(FrameDecoder.frame(new byte[1000])));
    assertThat(decoder.next().get()).hasLength(1000);
    assertThat(decoder.capacityBytes()).isLessThan(10_000);
  }

  private static List<byte[]> readInChunks(byte[] stream, int chunkBytes) {
    FrameDecoder decoder = new FrameDecoder(FrameDecoder.MAX_FRAME_BYTES);
    List<byte[]> read = new ArrayList<>();
    for (int start = 0; start < stream.length; start += chunkBytes) {
      int count = Math.min(chunkBytes, stream.length - start);
      decoder.append(ByteBuffer.wrap(stream, start, count));
      for (Optional<byte[]> frame = decoder.next(); frame.isPresent(); frame = decoder.next()) {
        read.add(frame.get());
      }
    }
    return read;
  }
}
