package io.cuminvalve.config.admin;

/**
 * The paths of the admin ports.
 *
 * <p>All but the probes and metrics require {@link AdminSignature}.
 *
 * @since 0.1
 */
public final class AdminPaths {

  /** Controller: {@code GET}, answers a {@link StatusReport}. */
  public static final String STATUS = "/v1/status";

  /** Controller: {@code GET ?cell=&key=}, answers a {@link KeyReport}. */
  public static final String EXPLAIN_KEY = "/v1/explain/key";

  /** Controller: {@code GET ?cell=}, answers a {@link HistoryReport}. */
  public static final String HISTORY = "/v1/history";

  /** Controller: {@code POST} of a {@link DrainRequest}, answers a {@link DrainReport}. */
  public static final String DRAINS = "/v1/drains";

  /** Router: {@code GET /v1/requests/{requestId}}, answers a {@link RequestReport}. */
  public static final String REQUESTS = "/v1/requests/";

  /** All programs: 200 while the process works. */
  public static final String LIVE = "/livez";

  /** All programs: 200 while it can do its job; the body says why not. */
  public static final String READY = "/readyz";

  /** All programs: metrics in the Prometheus text format. */
  public static final String METRICS = "/metrics";

  private AdminPaths() {}
}
