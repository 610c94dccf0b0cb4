package io.cuminvalve.config.check.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.cuminvalve.config.check.Finding;
import io.cuminvalve.config.check.FindingCode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks identifiers of list entries.
 *
 * @since 0.1
 */
final class Identities {

  private Identities() {}

  /** Returns the identifiers of a list and finds those that stand there twice. */
  static Set<String> collect(JsonDocument document, String list, List<Finding> findings) {
    Map<String, String> firstPointers = new HashMap<>();
    JsonNode entries = document.root().path(list);
    for (int i = 0; i < entries.size(); i++) {
      JsonNode id = entries.get(i).path("id");
      String pointer = "/" + list + "/" + i + "/id";
      String first = id.isTextual() ? firstPointers.putIfAbsent(id.asText(), pointer) : null;
      if (first != null) {
        findings.add(
            document.finding(
                pointer,
                FindingCode.DUPLICATE_ID,
                "id \"" + id.asText() + "\" is used at " + first + " too",
                "Give each entry its own id."));
      }
    }
    return firstPointers.keySet();
  }
}
