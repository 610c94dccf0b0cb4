package io.cuminvalve.wire;

import io.cuminvalve.core.authority.StoredTable;
import io.cuminvalve.core.authority.TableCodec;
import io.cuminvalve.core.authority.TermRecord;

/**
 * Encodes shard tables and term records for the store as MessagePack.
 *
 * @since 0.1
 */
public final class MessagePackTableCodec implements TableCodec {

  private final RecordCodec codec;

  /**
   * Creates a codec.
   *
   * @param codec encodes and decodes the records; not null
   */
  public MessagePackTableCodec(RecordCodec codec) {
    this.codec = codec;
  }

  @Override
  public byte[] encodeTable(StoredTable table) {
    return codec.encode(table);
  }

  @Override
  public StoredTable decodeTable(byte[] bytes) {
    return codec.decode(bytes, StoredTable.class);
  }

  @Override
  public byte[] encodeTerm(TermRecord term) {
    return codec.encode(term);
  }

  @Override
  public TermRecord decodeTerm(byte[] bytes) {
    return codec.decode(bytes, TermRecord.class);
  }
}
