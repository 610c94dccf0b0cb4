package io.cuminvalve.config.check.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.cuminvalve.config.IpAddresses;
import io.cuminvalve.config.check.Finding;
import io.cuminvalve.config.check.FindingCode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks addresses.
 *
 * @since 0.1
 */
final class Addresses {

  private Addresses() {}

  static Finding finding(JsonDocument document, String pointer, String value) {
    return document.finding(
        pointer,
        FindingCode.NOT_AN_IP_ADDRESS,
        "\"" + value + "\" is no IP address with a port",
        "Write it like 10.0.0.1:9001 or [2001:db8::1]:9001; names are refused.");
  }

  /** Finds texts that no address can be read from, though their form looks right. */
  static void checkForm(
      JsonDocument document, String pointer, JsonNode value, List<Finding> findings) {
    if (value.isTextual() && IpAddresses.tryParse(value.asText()).isEmpty()) {
      findings.add(finding(document, pointer, value.asText()));
    }
  }

  /** Finds values that stand at several pointers; a port of 0 is chosen by the system. */
  static void checkDistinct(
      JsonDocument document, Map<String, JsonNode> byPointer, List<Finding> findings) {
    Map<String, String> firstPointers = new HashMap<>();
    byPointer.forEach(
        (pointer, value) -> {
          boolean fixed = value.isTextual() && !value.asText().endsWith(":0");
          String first = fixed ? firstPointers.putIfAbsent(value.asText(), pointer) : null;
          if (first != null) {
            findings.add(
                document.finding(
                    pointer,
                    FindingCode.DUPLICATE_ADDRESS,
                    value.asText() + " is used at " + first + " too",
                    "Give each its own address and port."));
          }
        });
  }
}
