package io.cuminvalve.core.authority;

/**
 * Turns the records of the store into bytes and back.
 *
 * @since 0.1
 */
public interface TableCodec {

  /**
   * Encodes a table.
   *
   * @param table the table; not null
   * @return well under a megabyte
   */
  byte[] encodeTable(StoredTable table);

  /**
   * Decodes a table.
   *
   * @param bytes from {@link #encodeTable}; not null
   * @return never null
   * @throws io.cuminvalve.kernel.CodedException with code PROTOCOL if the bytes are malformed
   */
  StoredTable decodeTable(byte[] bytes);

  /**
   * Encodes a term record.
   *
   * @param term the record; not null
   * @return its bytes
   */
  byte[] encodeTerm(TermRecord term);

  /**
   * Decodes a term record.
   *
   * @param bytes from {@link #encodeTerm}; not null
   * @return never null
   * @throws io.cuminvalve.kernel.CodedException with code PROTOCOL if the bytes are malformed
   */
  TermRecord decodeTerm(byte[] bytes);
}
