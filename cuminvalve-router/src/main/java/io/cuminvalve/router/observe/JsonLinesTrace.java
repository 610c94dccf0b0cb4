package io.cuminvalve.router.observe;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cuminvalve.config.JsonMappers;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.kernel.ManagedService;
import io.cuminvalve.router.request.RequestContext;
import java.io.IOException;
import java.io.Writer;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * Writes each finished request as one line of JSON, in the form that {@code cuminvalve replay}
 * reads. Lines come in the order in which requests end.
 *
 * <p>A thread of its own writes. When it falls behind, lines are dropped and counted: a trace never
 * slows a request.
 *
 * @since 0.1
 */
public final class JsonLinesTrace implements TraceSink, ManagedService {

  private static final JsonMapper MAPPER = JsonMappers.strict();
  private static final int MAX_WAITING_LINES = 10_000;
  private static final String LAST_LINE = "";

  private final RouterId router;
  private final Writer output;
  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_WAITING_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final Thread thread;

  /**
   * Creates a trace.
   *
   * @param router this router; not null
   * @param output takes the lines; closed at the end; not null
   */
  public JsonLinesTrace(RouterId router, Writer output) {
    this.router = router;
    this.output = output;
    this.thread = new Thread(this::writeAll, "access-trace");
    thread.setDaemon(true);
  }

  @Override
  public void start() {
    thread.start();
  }

  @Override
  public void write(RequestRecord record, RequestTimes times) {
    if (!lines.offer(lineOf(record, times))) {
      dropped.incrementAndGet();
    }
  }

  /** Writes what waits and closes the output. */
  @Override
  public void stop() {
    try {
      lines.put(LAST_LINE);
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (dropped.get() > 0) {
      Logger.warn("The access trace lacks {} requests", dropped.get());
    }
  }

  private String lineOf(RequestRecord record, RequestTimes times) {
    RequestContext context = record.context();
    TargetId target = record.target();
    ObjectNode line = MAPPER.createObjectNode();
    line.put("type", "Arrival");
    line.put("atMs", context.arrivedMs());
    line.put("request", context.id().value());
    line.put("router", router.value());
    line.put("target", target == null ? null : target.value());
    line.put("tenant", context.tenant().value());
    line.put("requestClass", context.rule().requestClass().name());
    line.put("idempotent", context.rule().idempotent());
    line.put(
        "idempotencyKey", context.idempotencyKey() == null ? "" : context.idempotencyKey().value());
    line.put("timeoutMs", context.deadlineMs() - context.arrivedMs());
    line.put("serviceMs", times.targetMs());
    try {
      return MAPPER.writeValueAsString(line);
    } catch (JsonProcessingException e) {
      throw new CodedException(ErrorCode.INTERNAL, "a line of the trace cannot be encoded", e);
    }
  }

  private void writeAll() {
    try (output) {
      String line = lines.take();
      while (!line.equals(LAST_LINE)) {
        output.write(line);
        output.write('\n');
        if (lines.isEmpty()) {
          output.flush();
        }
        line = lines.take();
      }
    } catch (IOException | InterruptedException e) {
      Logger.warn(e, "The access trace ends: it cannot be written");
    }
  }
}
