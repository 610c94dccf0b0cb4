package io.cuminvalve.cli.story;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Reads the logs of gateways.
 *
 * @since 0.2
 */
public final class LogFiles {

  private static final String STANDARD_INPUT = "-";
  private static final String SUFFIX = ".log";

  private LogFiles() {}

  /**
   * Reads every decision of some logs, in the order of their times. Lines of other programs are
   * left out.
   *
   * @param files paths; a dash stands for standard input; not null
   * @param standardInput what the dash stands for; not null
   * @return never null
   * @throws CodedException with code INVALID_INPUT if a file cannot be read
   */
  public static List<LogLine> read(List<String> files, InputStream standardInput) {
    List<LogLine> lines = new ArrayList<>();
    DayAxis axis = new DayAxis();
    for (String file : files) {
      try (InputStream input =
          file.equals(STANDARD_INPUT) ? standardInput : Files.newInputStream(Path.of(file))) {
        readLog(input, new LineParser(nameOf(file), axis), lines);
      } catch (IOException unreadable) {
        throw new CodedException(
            ErrorCode.INVALID_INPUT, "the log " + file + " cannot be read", unreadable);
      }
    }
    return inOrder(lines);
  }

  /** Returns lines in the order of their times; what has the same time stays as it is. */
  static List<LogLine> inOrder(List<LogLine> lines) {
    return lines.stream().sorted(Comparator.comparingLong(LogLine::atMs)).toList();
  }

  private static String nameOf(String file) {
    String name = String.valueOf(Path.of(file).getFileName());
    return name.endsWith(SUFFIX) ? name.substring(0, name.length() - SUFFIX.length()) : name;
  }

  private static void readLog(InputStream input, LineParser parser, List<LogLine> lines)
      throws IOException {
    BufferedReader reader =
        new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8));
    for (String text = reader.readLine(); text != null; text = reader.readLine()) {
      parser.parse(text).ifPresent(lines::add);
    }
  }
}
