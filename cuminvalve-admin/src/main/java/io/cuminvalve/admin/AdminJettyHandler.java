package io.cuminvalve.admin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cuminvalve.config.admin.AdminSignature;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.kernel.SharedKey;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.tinylog.Logger;

/**
 * Answers the requests to an admin port.
 *
 * @since 0.1
 */
final class AdminJettyHandler extends Handler.Abstract {

  private static final int MAX_BODY_BYTES = 1024 * 1024;
  private static final int OK = 200;
  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int TOO_LARGE = 413;
  private static final int UNAVAILABLE = 503;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final SharedKey sharedKey;
  private final List<ReadinessCheck> checks;
  private final PrometheusRegistry metrics;
  private final Supplier<String> status;
  private final List<AdminRoute> routes;
  private final PrometheusTextFormatWriter metricsWriter =
      PrometheusTextFormatWriter.builder().build();

  AdminJettyHandler(
      SharedKey sharedKey,
      List<ReadinessCheck> checks,
      PrometheusRegistry metrics,
      Supplier<String> status,
      List<AdminRoute> routes) {
    this.sharedKey = sharedKey;
    this.checks = List.copyOf(checks);
    this.metrics = metrics;
    this.status = status;
    this.routes = List.copyOf(routes);
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) throws Exception {
    AdminResponse answer;
    try {
      answer = answer(request);
    } catch (CodedException failure) {
      answer = error(statusOf(failure.code()), failure.code(), failure.getMessage());
    } catch (RuntimeException failure) {
      Logger.error(failure, "Admin request failed: {}", request.getHttpURI().getPath());
      answer = error(500, ErrorCode.INTERNAL, "unexpected failure; see the log");
    }
    response.setStatus(answer.status());
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, answer.contentType());
    response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
    response.getHeaders().put("X-Content-Type-Options", "nosniff");
    response.write(true, ByteBuffer.wrap(answer.body()), callback);
    return true;
  }

  private AdminResponse answer(Request request) throws IOException {
    String path = Request.getPathInContext(request);
    if (request.getMethod().equals("GET")) {
      Optional<AdminResponse> open = answerToAnybody(path);
      if (open.isPresent()) {
        return open.get();
      }
    }
    byte[] body = readBody(request);
    if (body.length > MAX_BODY_BYTES) {
      return error(TOO_LARGE, ErrorCode.INVALID_INPUT, "body exceeds " + MAX_BODY_BYTES + " bytes");
    }
    if (!isAllowed(request, body)) {
      return error(
          UNAUTHORIZED,
          ErrorCode.INVALID_INPUT,
          "needs " + AdminSignature.HEADER + " or " + AdminSettings.KEY_HEADER);
    }
    if (path.equals("/status") && request.getMethod().equals("GET")) {
      return AdminResponse.json(OK, status.get());
    }
    return answerRoute(new AdminRequest(request.getMethod(), path, parameters(request), body));
  }

  private Optional<AdminResponse> answerToAnybody(String path) throws IOException {
    return switch (path) {
      case "/" -> Optional.of(page());
      case "/livez" -> Optional.of(AdminResponse.text(OK, "ok\n"));
      case "/readyz" -> Optional.of(readiness());
      case "/metrics" -> Optional.of(metrics());
      default -> Optional.empty();
    };
  }

  /** Reads no more than one byte above the bound. */
  private static byte[] readBody(Request request) throws IOException {
    try (InputStream input = Request.asInputStream(request)) {
      return input.readNBytes(MAX_BODY_BYTES + 1);
    }
  }

  private boolean isAllowed(Request request, byte[] body) {
    if (sharedKey.matches(request.getHeaders().get(AdminSettings.KEY_HEADER))) {
      return true;
    }
    return AdminSignature.isValid(
        sharedKey,
        System.currentTimeMillis(),
        request.getMethod(),
        request.getHttpURI().getPathQuery(),
        body,
        request.getHeaders().get(AdminSignature.HEADER));
  }

  private AdminResponse answerRoute(AdminRequest request) {
    for (AdminRoute route : routes) {
      if (route.matches(request)) {
        return route.handler().handle(request);
      }
    }
    return error(NOT_FOUND, ErrorCode.INVALID_INPUT, "nothing answers " + request.path());
  }

  private static Map<String, String> parameters(Request request) {
    Map<String, String> parameters = new HashMap<>();
    for (Fields.Field field : Request.extractQueryParameters(request)) {
      parameters.put(field.getName(), field.getValue());
    }
    return parameters;
  }

  private AdminResponse readiness() {
    ObjectNode document = JSON.createObjectNode();
    ObjectNode failing = document.putObject("failing");
    for (ReadinessCheck check : checks) {
      check.problem().get().ifPresent(problem -> failing.put(check.name(), problem));
    }
    document.put("ready", failing.isEmpty());
    return AdminResponse.json(failing.isEmpty() ? OK : UNAVAILABLE, document.toString());
  }

  private AdminResponse metrics() throws IOException {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    metricsWriter.write(text, metrics.scrape());
    return new AdminResponse(OK, metricsWriter.getContentType(), text.toByteArray());
  }

  private static AdminResponse page() throws IOException {
    try (InputStream page = AdminJettyHandler.class.getResourceAsStream("status.html")) {
      return new AdminResponse(OK, "text/html; charset=utf-8", page.readAllBytes());
    }
  }

  private static int statusOf(ErrorCode code) {
    return switch (code) {
      case INVALID_INPUT -> 400;
      case CONFLICT -> 409;
      case UNAVAILABLE -> UNAVAILABLE;
      case TIMEOUT -> 504;
      case PROTOCOL -> 502;
      default -> 500;
    };
  }

  private static AdminResponse error(int status, ErrorCode code, String message) {
    ObjectNode document = JSON.createObjectNode();
    document.put("code", code.name());
    document.put("message", message);
    document.put("remedy", code.remedy());
    return AdminResponse.json(status, document.toString());
  }
}
