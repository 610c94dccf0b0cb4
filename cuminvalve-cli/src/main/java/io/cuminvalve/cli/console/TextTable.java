package io.cuminvalve.cli.console;

import java.util.ArrayList;
import java.util.List;

/**
 * A table of aligned columns.
 *
 * @since 0.1
 */
public final class TextTable {

  private static final String GAP = "  ";

  private final List<List<String>> rows = new ArrayList<>();

  /**
   * Creates a table.
   *
   * @param headings one for each column; not null
   */
  public TextTable(String... headings) {
    rows.add(List.of(headings));
  }

  /**
   * Appends a row.
   *
   * @param cells one for each column; null shows as {@code -}
   * @return this table
   */
  public TextTable row(Object... cells) {
    List<String> row = new ArrayList<>();
    for (Object cell : cells) {
      row.add(cell == null ? "-" : cell.toString());
    }
    rows.add(row);
    return this;
  }

  /**
   * Lays the table out.
   *
   * @return one line for the headings and one for each row, without a line break at the end
   */
  public String toText() {
    int[] widths = new int[rows.get(0).size()];
    for (List<String> row : rows) {
      for (int column = 0; column < widths.length; column++) {
        widths[column] = Math.max(widths[column], row.get(column).length());
      }
    }
    List<String> lines = new ArrayList<>();
    for (List<String> row : rows) {
      lines.add(line(row, widths));
    }
    return String.join(System.lineSeparator(), lines);
  }

  private static String line(List<String> row, int[] widths) {
    StringBuilder line = new StringBuilder();
    for (int column = 0; column < widths.length; column++) {
      String cell = row.get(column);
      line.append(cell).append(" ".repeat(widths[column] - cell.length())).append(GAP);
    }
    return line.toString().stripTrailing();
  }
}
