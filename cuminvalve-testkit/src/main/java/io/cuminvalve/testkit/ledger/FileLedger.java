package io.cuminvalve.testkit.ledger;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Appends what one target does to a file, one JSON line each, so that it outlives a killed process.
 *
 * <p>Each line is handed to the operating system before the call returns. Times are of {@link
 * System#nanoTime()}, which processes of one host share, so the files of several targets can be
 * merged. Thread-safe.
 *
 * @since 0.1
 */
public final class FileLedger implements Ledger, AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();

  /** One line: exactly one of the two is set. */
  private record Line(GrantRecord grant, ExecutionRecord execution) {
    long atNs() {
      return grant == null ? execution.atNs() : grant.atNs();
    }
  }

  private final FileChannel file;

  /**
   * Opens a file to append to.
   *
   * @param path the file; created if it is absent; not null
   */
  public FileLedger(Path path) {
    try {
      file =
          FileChannel.open(
              path, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void granted(GrantRecord grant) {
    append(new Line(grant, null));
  }

  @Override
  public void executed(ExecutionRecord execution) {
    append(new Line(null, execution));
  }

  private synchronized void append(Line line) {
    try {
      String text = JSON.writeValueAsString(line) + "\n";
      file.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void close() {
    try {
      file.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Hands the content of several files to one ledger, in the order of time.
   *
   * @param paths the files; not null
   * @param into receives the records; not null
   */
  public static void merge(List<Path> paths, Ledger into) {
    List<Line> lines = new ArrayList<>();
    for (Path path : paths) {
      lines.addAll(read(path));
    }
    lines.sort(Comparator.comparingLong(Line::atNs));
    for (Line line : lines) {
      if (line.grant() != null) {
        into.granted(line.grant());
      } else {
        into.executed(line.execution());
      }
    }
  }

  private static List<Line> read(Path path) {
    List<Line> lines = new ArrayList<>();
    try {
      for (String text : Files.readAllLines(path)) {
        lines.add(JSON.readValue(text, Line.class));
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return lines;
  }
}
