package io.cuminvalve.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.protocol.ShardsOpened;
import io.cuminvalve.core.protocol.TablePush;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class RecordCodecTest {

  private static final int FUZZ_ROUNDS = 20_000;

  private final RecordCodec codec = new RecordCodec();

  /** The oldest version of a record. */
  public record Older(String name) {}

  /** The same record with one component appended. */
  public record Middle(String name, long count) {}

  /** The same record with further components appended. */
  public record Newer(String name, long count, List<String> tags, int[] shards, boolean on) {}

  @Test
  void everyMessageRoundTrips() {
    for (PeerMessage message : SampleMessages.all()) {
      byte[] bytes = codec.encodeMessage(message);
      PeerMessage read = codec.decodeMessage(bytes);
      assertThat(read).isInstanceOf(message.getClass());
      // Records with array components are never equal: compare the encoded bytes.
      assertThat(codec.encodeMessage(read)).isEqualTo(bytes);
      assertThat(read.cell()).isEqualTo(message.cell());
    }
    PeerMessage heartbeat = SampleMessages.heartbeat(4);
    assertThat(codec.decodeMessage(codec.encodeMessage(heartbeat))).isEqualTo(heartbeat);
  }

  @Test
  void everyMessageTypeOfTheProtocolHasNumber() {
    Set<String> declared =
        new ClassFileImporter()
            .importPackages("io.cuminvalve.core").stream()
                .filter(type -> type.isAssignableTo(PeerMessage.class) && !type.isInterface())
                .map(JavaClass::getName)
                .collect(Collectors.toSet());
    Set<String> numbered =
        PeerMessageTypes.all().values().stream().map(Class::getName).collect(Collectors.toSet());
    assertThat(numbered).isEqualTo(declared);
  }

  @Test
  void tableRoundTripsWithinSizeLimit() {
    ShardTable table = SampleMessages.table(1 << 16, 100, new Random(1));
    byte[] bytes = codec.encodeMessage(new TablePush(SampleMessages.CELL, table, new int[] {1, 2}));
    ShardTable read = ((TablePush) codec.decodeMessage(bytes)).table();
    assertThat(read.ownersCopy()).isEqualTo(table.ownersCopy());
    assertThat(read.standbysCopy()).isEqualTo(table.standbysCopy());
    assertThat(read.previousOwnersCopy()).isEqualTo(table.previousOwnersCopy());
    assertThat(read.tokensCopy()).isEqualTo(table.tokensCopy());
    assertThat(read.targets()).isEqualTo(table.targets());
    assertThat(read.routers()).isEqualTo(table.routers());
    assertThat(read.previousWitnesses()).isEqualTo(table.previousWitnesses());
    assertThat(bytes.length).isLessThan(600_000);
  }

  @Test
  void messageOfNewerSenderIsDecoded() {
    Newer newer = new Newer("a", 5, List.of("x"), new int[] {1}, true);
    assertThat(codec.decode(codec.encode(newer), Middle.class)).isEqualTo(new Middle("a", 5));
  }

  @Test
  void messageOfOlderSenderIsDecoded() {
    Newer read = codec.decode(codec.encode(new Middle("a", 5)), Newer.class);
    assertThat(read.count()).isEqualTo(5);
    assertThat(read.tags()).isEmpty();
    assertThat(read.shards()).isEmpty();
    assertThat(read.on()).isFalse();
  }

  @Test
  void singleComponentIsWrittenWithoutArray() {
    assertThat(codec.encode(new Older("a"))).isEqualTo(new byte[] {(byte) 0xa1, 'a'});
  }

  @Test
  void lengthBeyondInputIsRejected() {
    // A ShardsOpened message whose shard array declares 2^31 - 1 elements.
    byte[] good =
        codec.encodeMessage(
            new ShardsOpened(SampleMessages.CELL, SampleMessages.VERSION, new int[0], new long[0]));
    byte[] bad = Arrays.copyOf(good, good.length + 3);
    byte[] header = {(byte) 0xdd, 0x7f, -1, -1, -1};
    System.arraycopy(header, 0, bad, good.length - 2, header.length);
    assertProtocolError(bad);
    byte[] string = {(byte) 0x92, 13, (byte) 0x92, (byte) 0xdb, 0x7f, -1, -1, -1};
    assertProtocolError(string);
  }

  @Test
  void trailingBytesAreRejected() {
    byte[] good = codec.encodeMessage(SampleMessages.heartbeat(1));
    assertProtocolError(Arrays.copyOf(good, good.length + 1));
  }

  @Test
  void corruptedMessagesAreRejectedOrDecoded() {
    Random random = new Random(20_261_202);
    int rejected = 0;
    for (int i = 0; i < FUZZ_ROUNDS; i++) {
      PeerMessage message = SampleMessages.all().get(random.nextInt(SampleMessages.all().size()));
      byte[] bytes = corrupt(codec.encodeMessage(message), random);
      try {
        codec.decodeMessage(bytes);
      } catch (CodedException expected) {
        assertThat(expected.code()).isEqualTo(ErrorCode.PROTOCOL);
        rejected++;
      }
    }
    assertThat(rejected).isGreaterThan(FUZZ_ROUNDS / 10);
  }

  private static byte[] corrupt(byte[] bytes, Random random) {
    if (random.nextInt(4) == 0) {
      return Arrays.copyOf(bytes, random.nextInt(bytes.length));
    }
    for (int i = random.nextInt(4); i >= 0; i--) {
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
    }
    return bytes;
  }

  private void assertProtocolError(byte[] bytes) {
    CodedException error = assertThrows(CodedException.class, () -> codec.decodeMessage(bytes));
    assertThat(error.code()).isEqualTo(ErrorCode.PROTOCOL);
  }
}
