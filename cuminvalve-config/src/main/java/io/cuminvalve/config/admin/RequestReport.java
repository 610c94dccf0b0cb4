package io.cuminvalve.config.admin;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.id.RouterId;
import java.util.List;

/**
 * What a router remembers of one request.
 *
 * @param router the router that answers; not null
 * @param request the request; not null
 * @param cell the cell; null if no rule matched
 * @param kind the request kind; null if no rule matched
 * @param shard the shard of its key; -1 if no rule matched
 * @param verdict {@code RAN}, {@code NOT_RUN}, {@code MAY_HAVE_RUN}, or {@code IN_FLIGHT}; not null
 * @param status the HTTP status that the caller received; 0 while in flight
 * @param steps what happened, in order; not null, copied
 * @since 0.1
 */
public record RequestReport(
    RouterId router,
    RequestId request,
    CellId cell,
    String kind,
    int shard,
    String verdict,
    int status,
    List<RequestStep> steps) {

  /** Copies the list. */
  public RequestReport {
    steps = List.copyOf(steps);
  }
}
