package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start of the test. */
final class Record implements AutoCloseable {

  private final long startNs = System.nanoTime();
  private final PrintWriter file;

  Record(String path) throws IOException {
    this.file = new PrintWriter(path, StandardCharsets.UTF_8);
  }

  /** Returns the seconds since the start of the test. */
  double now() {
    return (System.nanoTime() - startNs) / 1e9;
  }

  synchronized void write(String format, Object... arguments) {
    file.printf(Locale.ROOT, "%8.3f  ", now());
    file.printf(Locale.ROOT, format, arguments);
    file.println();
    file.flush();
  }

  /** Writes a line to the record and to standard output. */
  void tell(String format, Object... arguments) {
    write(format, arguments);
    System.out.println(String.format(Locale.ROOT, format, arguments));
  }

  @Override
  public void close() {
    file.close();
  }
}
