import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start. */
final class Record implements AutoCloseable {

  private final PrintWriter out;
  private final long startNs = System.nanoTime();

  Record(Path file) throws IOException {
    this.out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Returns the seconds since the start. */
  double seconds() {
    return (System.nanoTime() - startNs) / 1e9;
  }

  synchronized void write(String line) {
    out.printf("%9.3f s  %s%n", seconds(), line);
    out.flush();
  }

  /** Writes a line here and on the console. */
  void say(String line) {
    write(line);
    System.out.println(line);
  }

  @Override
  public void close() {
    out.close();
  }
}
