package io.cuminvalve.cli.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.cuminvalve.config.IpAddresses;
import io.cuminvalve.config.JsonMappers;
import io.cuminvalve.config.admin.AdminError;
import io.cuminvalve.config.admin.AdminSignature;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.kernel.SharedKey;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;

/**
 * Calls admin ports over HTTP, signing each request with the shared key.
 *
 * @since 0.1
 */
public final class HttpAdminClient implements AdminClient {

  private static final int OK = 200;
  private static final byte[] NO_BODY = new byte[0];
  private static final JsonMapper MAPPER = JsonMappers.lenient();

  private final HttpClient http = new HttpClient();
  private final SharedKey key;
  private final long timeoutMs;
  private final LongSupplier epochClockMs;

  /**
   * Creates and starts a client.
   *
   * @param key the shared key; not null
   * @param timeoutMs how long a call may take; milliseconds
   * @param epochClockMs the wall clock, in milliseconds since 1970; not null
   */
  public HttpAdminClient(SharedKey key, long timeoutMs, LongSupplier epochClockMs) {
    this.key = key;
    this.timeoutMs = timeoutMs;
    this.epochClockMs = epochClockMs;
    http.setConnectTimeout(timeoutMs);
    try {
      http.start();
    } catch (Exception e) {
      throw new CodedException(ErrorCode.INTERNAL, "the HTTP client can't start", e);
    }
  }

  @Override
  public <T> T get(InetSocketAddress address, String pathAndQuery, Class<T> type) {
    return call(address, "GET", pathAndQuery, NO_BODY, type);
  }

  @Override
  public <T> T post(InetSocketAddress address, String path, Object body, Class<T> type) {
    try {
      return call(address, "POST", path, MAPPER.writeValueAsBytes(body), type);
    } catch (JsonProcessingException e) {
      throw new CodedException(ErrorCode.INTERNAL, "an order can't be written as JSON", e);
    }
  }

  @Override
  public void close() {
    try {
      http.stop();
    } catch (Exception e) {
      throw new CodedException(ErrorCode.INTERNAL, "the HTTP client can't stop", e);
    }
  }

  private <T> T call(
      InetSocketAddress address, String method, String pathAndQuery, byte[] body, Class<T> type) {
    String place = IpAddresses.format(address);
    String signature =
        AdminSignature.sign(key, epochClockMs.getAsLong(), method, pathAndQuery, body);
    Request request =
        http.newRequest("http://" + place + pathAndQuery)
            .method(method)
            .headers(headers -> headers.put(AdminSignature.HEADER, signature))
            .timeout(timeoutMs, TimeUnit.MILLISECONDS);
    if (body.length > 0) {
      request.body(new BytesRequestContent("application/json", body));
    }
    return read(send(request, place), place, type);
  }

  private static ContentResponse send(Request request, String place) {
    try {
      return request.send();
    } catch (ExecutionException | TimeoutException e) {
      throw new CodedException(ErrorCode.UNAVAILABLE, place + " does not answer", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CodedException(ErrorCode.UNAVAILABLE, "interrupted while asking " + place, e);
    }
  }

  private static <T> T read(ContentResponse response, String place, Class<T> type) {
    try {
      if (response.getStatus() == OK) {
        return MAPPER.readValue(response.getContent(), type);
      }
      AdminError error = MAPPER.readValue(response.getContent(), AdminError.class);
      throw new CodedException(error.code(), place + ": " + error.message());
    } catch (IOException e) {
      String message = place + " gave an answer that can't be understood";
      throw new CodedException(
          ErrorCode.PROTOCOL, message + " (status " + response.getStatus() + ")", e);
    }
  }
}
