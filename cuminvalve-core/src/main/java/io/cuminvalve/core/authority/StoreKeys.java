package io.cuminvalve.core.authority;

import io.cuminvalve.core.id.CellId;

/**
 * Names the store keys of a cell.
 *
 * @since 0.1
 */
public final class StoreKeys {

  private StoreKeys() {}

  /**
   * Returns the key of the term record.
   *
   * @param cell the cell; not null
   * @return a key that is tied to no lease
   */
  public static String term(CellId cell) {
    return "cell/" + cell.value() + "/term";
  }

  /**
   * Returns the key whose absence shows that the holder's store lease lapsed.
   *
   * @param cell the cell; not null
   * @return a key that is tied to the holder's lease
   */
  public static String holder(CellId cell) {
    return "cell/" + cell.value() + "/holder";
  }

  /**
   * Returns the key of the shard table.
   *
   * @param cell the cell; not null
   * @return a key that is tied to no lease
   */
  public static String table(CellId cell) {
    return "cell/" + cell.value() + "/table";
  }
}
