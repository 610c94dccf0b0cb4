package io.cuminvalve.router.caller;

import io.cuminvalve.core.id.IdempotencyKey;
import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.id.TenantId;
import io.cuminvalve.core.routing.MatchResult;
import io.cuminvalve.core.routing.RequestMatcher;
import io.cuminvalve.core.routing.RouteMatch;
import io.cuminvalve.core.verdict.RefusalReason;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.router.request.RequestContext;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;

/**
 * Reads what a router has to know from the head of a request.
 *
 * @param context the request; null if it is refused
 * @param refusal why it is refused; {@link RefusalReason#NONE} if it is not
 */
record RequestHead(RequestContext context, RefusalReason refusal) {

  private static final TenantId DEFAULT_TENANT = new TenantId("default");

  static RequestHead read(RequestMatcher matcher, RequestId id, Request request, long nowMs) {
    HttpFields headers = request.getHeaders();
    RouteMatch match = new RouteMatch();
    MatchResult result =
        matcher.match(request.getMethod(), request.getHttpURI().getPath(), headers::get, match);
    if (result != MatchResult.MATCHED) {
      return refused(
          result == MatchResult.NO_RULE ? RefusalReason.NO_RULE : RefusalReason.KEY_MISSING);
    }
    try {
      return new RequestHead(context(match, id, headers, nowMs), RefusalReason.NONE);
    } catch (CodedException | NumberFormatException malformed) {
      return refused(RefusalReason.BAD_REQUEST);
    }
  }

  private static RequestContext context(
      RouteMatch match, RequestId id, HttpFields headers, long nowMs) {
    String tenant = headers.get(CallerHeaders.TENANT);
    String idempotencyKey = headers.get(CallerHeaders.IDEMPOTENCY_KEY);
    return new RequestContext(
        id,
        match.rule(),
        tenant == null ? DEFAULT_TENANT : new TenantId(tenant),
        match.key().toString(),
        idempotencyKey == null ? null : new IdempotencyKey(idempotencyKey),
        nowMs,
        nowMs + timeoutMs(headers, match.rule().timeoutMs()));
  }

  private static long timeoutMs(HttpFields headers, long longestMs) {
    String wanted = headers.get(CallerHeaders.TIMEOUT_MS);
    return wanted == null ? longestMs : Math.min(Long.parseLong(wanted), longestMs);
  }

  private static RequestHead refused(RefusalReason reason) {
    return new RequestHead(null, reason);
  }
}
