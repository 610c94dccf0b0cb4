package io.cuminvalve.testkit.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Lets an experiment set the fault switches of a stand-in that runs in another process.
 *
 * <p>{@code PUT /standin/faults} sets the named switches, {@code GET /standin/report} returns the
 * stand-in's counters. Both work whatever faults are on.
 *
 * @since 0.1
 */
public final class FaultControl {

  /** Sets switches. */
  public static final String FAULTS_PATH = "/standin/faults";

  /** Returns counters. */
  public static final String REPORT_PATH = "/standin/report";

  private static final ObjectMapper JSON = new ObjectMapper();

  private FaultControl() {}

  /**
   * Puts the control paths before a service.
   *
   * @param faults a bean of switches; not null
   * @param report returns anything that Jackson can write; not null
   * @param service answers all other paths; not null
   * @return the combined service
   */
  public static Consumer<Exchange> wrap(
      Object faults, Supplier<?> report, Consumer<Exchange> service) {
    return exchange -> {
      switch (exchange.path()) {
        case FAULTS_PATH -> set(faults, exchange);
        case REPORT_PATH -> exchange.answerJson(200, report.get());
        default -> service.accept(exchange);
      }
    };
  }

  private static void set(Object faults, Exchange exchange) {
    try {
      JSON.readerForUpdating(faults).readValue(exchange.body());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    exchange.answer(200);
  }
}
