package io.cuminvalve.config.check.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.cuminvalve.config.check.Finding;
import io.cuminvalve.config.check.FindingCode;
import io.cuminvalve.core.authority.AuthorityTimings;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks what a schema can't say about settings.
 *
 * <p>Works on documents that fail their schema too: what is missing or malformed is left out.
 *
 * @since 0.1
 */
public final class SettingsCheck {

  private static final List<String> LISTENERS =
      List.of("callerAddress", "peerAddress", "adminAddress");
  private static final List<String> ADDRESS_LISTS =
      List.of(
          "storeAddresses",
          "hostListAddresses",
          "seedPeerAddresses",
          "controllerAddresses",
          "routerAddresses");

  private final JsonDocument document;
  private final List<Finding> findings = new ArrayList<>();

  private SettingsCheck(JsonDocument document) {
    this.document = document;
  }

  /**
   * Checks settings of any program.
   *
   * @param document the settings; not null
   * @return every fault; empty if there is none
   */
  public static List<Finding> check(JsonDocument document) {
    SettingsCheck check = new SettingsCheck(document);
    check.checkKeyPath();
    check.checkListeners();
    check.checkAddressLists();
    check.checkCells();
    check.checkTimings();
    return check.findings;
  }

  private void checkKeyPath() {
    JsonNode value = document.root().path("sharedKeyPath");
    try {
      Path unused = Path.of(value.asText());
    } catch (InvalidPathException e) {
      findings.add(
          document.finding(
              "/sharedKeyPath",
              FindingCode.INVALID_FORM,
              "no path of a file: " + e.getReason(),
              "Write the path of the file that holds the shared key."));
    }
  }

  private void checkListeners() {
    Map<String, JsonNode> addresses = new LinkedHashMap<>();
    for (String field : LISTENERS) {
      JsonNode value = document.root().path(field);
      Addresses.checkForm(document, "/" + field, value, findings);
      addresses.put("/" + field, value);
    }
    Addresses.checkDistinct(document, addresses, findings);
  }

  private void checkAddressLists() {
    for (String field : ADDRESS_LISTS) {
      JsonNode list = document.root().path(field);
      for (int i = 0; i < list.size(); i++) {
        Addresses.checkForm(document, "/" + field + "/" + i, list.get(i), findings);
      }
    }
  }

  private void checkCells() {
    Set<String> seen = new HashSet<>();
    JsonNode cells = document.root().path("cells");
    for (int i = 0; i < cells.size(); i++) {
      if (!seen.add(cells.get(i).asText())) {
        findings.add(
            document.finding(
                "/cells/" + i,
                FindingCode.DUPLICATE_ID,
                "cell " + cells.get(i) + " is listed twice",
                "List each cell once."));
      }
    }
  }

  private void checkTimings() {
    AuthorityTimings defaults = AuthorityTimings.DEFAULT;
    long routeLeaseMs = durationMs("routeLeaseMs", defaults.routeLeaseMs());
    long termLeaseMs = durationMs("termLeaseMs", defaults.termLeaseMs());
    long heartbeatMs = durationMs("heartbeatMs", defaults.heartbeatMs());
    long leaseRenewMs = durationMs("leaseRenewMs", defaults.leaseRenewMs());
    long requestGrantMs = durationMs("requestGrantMs", defaults.requestGrantMs());
    requireUnderHalf("leaseRenewMs", leaseRenewMs, "routeLeaseMs", routeLeaseMs);
    requireUnderHalf("heartbeatMs", heartbeatMs, "termLeaseMs", termLeaseMs);
    if (requestGrantMs > routeLeaseMs) {
      findings.add(
          document.finding(
              "/timings/requestGrantMs",
              FindingCode.TIMINGS_CONTRADICT,
              "requestGrantMs (%d) is more than routeLeaseMs (%d)"
                  .formatted(requestGrantMs, routeLeaseMs),
              "A grant must not outlive the lease: shorten it, or lengthen routeLeaseMs."));
    }
  }

  private long durationMs(String field, long defaultMs) {
    JsonNode value = document.root().path("timings").path(field);
    return value.canConvertToLong() && value.isIntegralNumber() ? value.asLong() : defaultMs;
  }

  private void requireUnderHalf(String shorter, long shorterMs, String longer, long longerMs) {
    if (shorterMs * 2 >= longerMs) {
      findings.add(
          document.finding(
              "/timings/" + shorter,
              FindingCode.TIMINGS_CONTRADICT,
              "%s (%d) is not under half of %s (%d)"
                  .formatted(shorter, shorterMs, longer, longerMs),
              "One lost message would end the lease: shorten it, or lengthen " + longer + "."));
    }
  }
}
