package io.cuminvalve.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.cuminvalve.core.authority.StoredTable;
import io.cuminvalve.core.authority.TermRecord;
import io.cuminvalve.core.id.ControllerId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.core.table.TableVersion;
import io.cuminvalve.kernel.CodedException;
import java.util.Random;
import org.junit.jupiter.api.Test;

class MessagePackTableCodecTest {

  private static final int STORE_LIMIT_BYTES = 1_000_000;

  private final MessagePackTableCodec codec = new MessagePackTableCodec(new RecordCodec());

  @Test
  void largeTableStaysBelowStoreLimit() {
    ShardTable table = SampleMessages.table(1 << 16, 4_000, new Random(2));
    StoredTable stored = new StoredTable(new TableVersion(8, 1, 2), table);
    byte[] bytes = codec.encodeTable(stored);
    assertThat(bytes.length).isLessThan(STORE_LIMIT_BYTES * 9 / 10);
    StoredTable read = codec.decodeTable(bytes);
    assertThat(read.base()).isEqualTo(stored.base());
    assertThat(read.table().version()).isEqualTo(table.version());
    assertThat(read.table().tokensCopy()).isEqualTo(table.tokensCopy());
  }

  @Test
  void termRoundTrips() {
    TermRecord term =
        new TermRecord(7, new ControllerId("c1"), new Incarnation(-3), "127.0.0.1:7000");
    assertThat(codec.decodeTerm(codec.encodeTerm(term))).isEqualTo(term);
  }

  @Test
  void invalidBytesAreRejected() {
    byte[] term =
        codec.encodeTerm(
            new TermRecord(7, new ControllerId("c1"), new Incarnation(3), "127.0.0.1:7000"));
    assertThrows(CodedException.class, () -> codec.decodeTable(term));
    assertThrows(CodedException.class, () -> codec.decodeTerm(new byte[0]));
  }
}
