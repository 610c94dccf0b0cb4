package io.cuminvalve.ports.host;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.cuminvalve.ports.http.BoundedHttpClient;
import io.cuminvalve.ports.http.HttpCallResult;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the platform's host list over HTTP, as specified in docs/PROTOCOLS.md.
 *
 * @since 0.1
 */
public final class HttpHostList implements HostList {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final BoundedHttpClient httpClient;
  private final List<String> addresses;
  private final long timeoutMs;

  /**
   * Creates a client.
   *
   * @param httpClient the HTTP client; not null
   * @param addresses IP address and port of each endpoint, in the order of use; may be empty; not
   *     null
   * @param timeoutMs timeout of each call; milliseconds
   */
  public HttpHostList(BoundedHttpClient httpClient, List<String> addresses, long timeoutMs) {
    this.httpClient = httpClient;
    this.addresses = List.copyOf(addresses);
    this.timeoutMs = timeoutMs;
  }

  @Override
  public CompletableFuture<Optional<List<Host>>> hosts() {
    return hostsFrom(0);
  }

  private CompletableFuture<Optional<List<Host>>> hostsFrom(int index) {
    if (index >= addresses.size()) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    return httpClient
        .get("http://" + addresses.get(index) + "/v1/hosts", timeoutMs)
        .thenApply(HttpHostList::parse)
        .thenCompose(
            hosts ->
                hosts.isPresent()
                    ? CompletableFuture.completedFuture(hosts)
                    : hostsFrom(index + 1));
  }

  private static Optional<List<Host>> parse(HttpCallResult result) {
    if (!result.hasStatus(HttpCallResult.OK)) {
      return Optional.empty();
    }
    try {
      JsonNode list = JSON.readTree(result.body()).path("hosts");
      if (!list.isArray()) {
        return Optional.empty();
      }
      List<Host> hosts = new ArrayList<>();
      for (JsonNode item : list) {
        // A host in an unknown state counts as LIVE, so that it is not drained.
        boolean leaving = HostState.LEAVING.name().equals(item.path("state").asText());
        hosts.add(new Host(item.path("id").asText(), leaving ? HostState.LEAVING : HostState.LIVE));
      }
      return Optional.of(hosts);
    } catch (IOException malformed) {
      return Optional.empty();
    }
  }
}
