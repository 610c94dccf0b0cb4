package io.cuminvalve.cli.console;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectWriter;
import io.cuminvalve.config.JsonMappers;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.io.PrintWriter;
import picocli.CommandLine.Help.Ansi;

/**
 * Where commands write.
 *
 * <p>Results go to the standard output, progress and errors to the standard error, so that the
 * output of {@code --json} is one document.
 *
 * @since 0.1
 */
public final class Console {

  private static final ObjectWriter JSON = JsonMappers.lenient().writerWithDefaultPrettyPrinter();

  private final PrintWriter out;
  private final PrintWriter err;
  private final Ansi ansi;

  /**
   * Creates a console.
   *
   * @param out for results; not null
   * @param err for progress and errors; not null
   * @param ansi whether to use colours; not null
   */
  public Console(PrintWriter out, PrintWriter err, Ansi ansi) {
    this.out = out;
    this.err = err;
    this.ansi = ansi;
  }

  /**
   * Writes a result for people.
   *
   * @param text the text; not null
   */
  public void print(String text) {
    out.println(text);
    out.flush();
  }

  /**
   * Writes a heading for people.
   *
   * @param text the text, without markup; not null
   */
  public void printHeading(String text) {
    print(ansi.new Text("@|bold " + text + "|@").toString());
  }

  /**
   * Writes a result for machines.
   *
   * @param value a record; not null
   */
  public void printJson(Object value) {
    try {
      print(JSON.writeValueAsString(value));
    } catch (JsonProcessingException e) {
      throw new CodedException(ErrorCode.INTERNAL, "a result can't be written as JSON", e);
    }
  }

  /**
   * Writes progress.
   *
   * @param text the text; not null
   */
  public void progress(String text) {
    err.println(text);
    err.flush();
  }

  /**
   * Writes an error with its code, its meaning and what to do next.
   *
   * @param code the code; not null
   * @param message the details; not null
   */
  public void error(ErrorCode code, String message) {
    err.println(ansi.new Text("@|bold,red error " + code + "|@") + ": " + message);
    err.println("  meaning: " + code.meaning());
    err.println("  next:    " + code.remedy());
    err.flush();
  }
}
