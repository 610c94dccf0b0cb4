package io.cuminvalve.router.caller;

import java.util.EnumSet;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/**
 * The header fields between callers and routers, and which fields pass through a router.
 *
 * @since 0.1
 */
public final class CallerHeaders {

  /** How long the caller waits; milliseconds. */
  public static final String TIMEOUT_MS = "Cuminvalve-Timeout-Ms";

  /** On whose behalf the caller asks. */
  public static final String TENANT = "Cuminvalve-Tenant";

  /** Names the operation, so that a resend of it can be recognised. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** The identifier that the router gave to the request. */
  public static final String REQUEST_ID = "Cuminvalve-Request-Id";

  /** Whether the request may have run. */
  public static final String VERDICT = "Cuminvalve-Verdict";

  private static final String RESERVED_PREFIX = "cuminvalve-";

  private static final EnumSet<HttpHeader> HOP_BY_HOP =
      EnumSet.of(
          HttpHeader.CONNECTION,
          HttpHeader.KEEP_ALIVE,
          HttpHeader.PROXY_AUTHENTICATE,
          HttpHeader.PROXY_AUTHORIZATION,
          HttpHeader.PROXY_CONNECTION,
          HttpHeader.TE,
          HttpHeader.TRAILER,
          HttpHeader.TRANSFER_ENCODING,
          HttpHeader.UPGRADE,
          HttpHeader.HTTP2_SETTINGS,
          HttpHeader.EXPECT);

  private CallerHeaders() {}

  /**
   * Copies the fields that pass through a router, in either direction.
   *
   * @param received the fields as received; not null
   * @return without hop-by-hop fields, fields named by Connection, and fields that only the
   *     system's own processes and targets may set
   */
  public static HttpFields.Mutable passedOn(HttpFields received) {
    Set<String> named = namedByConnection(received);
    HttpFields.Mutable result = HttpFields.build();
    for (HttpField field : received) {
      if (passes(field, named)) {
        result.add(field);
      }
    }
    return result;
  }

  private static boolean passes(HttpField field, Set<String> namedByConnection) {
    HttpHeader known = field.getHeader();
    if (known != null && HOP_BY_HOP.contains(known)) {
      return false;
    }
    String name = field.getLowerCaseName();
    return !name.startsWith(RESERVED_PREFIX) && !namedByConnection.contains(name);
  }

  private static Set<String> namedByConnection(HttpFields received) {
    if (!received.contains(HttpHeader.CONNECTION)) {
      return Set.of();
    }
    Set<String> names = new HashSet<>();
    for (String value : received.getCSV(HttpHeader.CONNECTION, false)) {
      names.add(value.toLowerCase(Locale.ROOT));
    }
    return names;
  }
}
