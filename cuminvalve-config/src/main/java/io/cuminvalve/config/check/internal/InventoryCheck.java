package io.cuminvalve.config.check.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.cuminvalve.config.check.Finding;
import io.cuminvalve.config.check.FindingCode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks what a schema can't say about an inventory.
 *
 * <p>Works on documents that fail their schema too: what is missing or malformed is left out.
 *
 * @since 0.1
 */
public final class InventoryCheck {

  private static final int MIN_INSTANCES = 2;

  private final JsonDocument document;
  private final List<Finding> findings = new ArrayList<>();
  private final Set<String> dataCentres;
  private final Set<String> services;

  private InventoryCheck(JsonDocument document) {
    this.document = document;
    this.dataCentres = Identities.collect(document, "dataCentres", findings);
    this.services = Identities.collect(document, "services", findings);
    Identities.collect(document, "instances", findings);
  }

  /**
   * Checks an inventory.
   *
   * @param document the inventory; not null
   * @return every fault; empty if there is none
   */
  public static List<Finding> check(JsonDocument document) {
    InventoryCheck check = new InventoryCheck(document);
    check.checkInstances();
    check.checkServices();
    return check.findings;
  }

  /**
   * Returns the services of an inventory.
   *
   * @param document the inventory; not null
   * @return their identifiers
   */
  static Set<String> servicesOf(JsonDocument document) {
    return Identities.collect(document, "services", new ArrayList<>());
  }

  private void checkInstances() {
    JsonNode instances = document.root().path("instances");
    Map<String, JsonNode> addresses = new LinkedHashMap<>();
    for (int i = 0; i < instances.size(); i++) {
      JsonNode instance = instances.get(i);
      String pointer = "/instances/" + i;
      JsonNode address = instance.path("address");
      Addresses.checkForm(document, pointer + "/address", address, findings);
      addresses.put(pointer + "/address", address);
      checkReference(instance, pointer, "dataCentre", dataCentres, FindingCode.UNKNOWN_DATA_CENTRE);
      checkReference(instance, pointer, "service", services, FindingCode.UNKNOWN_SERVICE);
    }
    Addresses.checkDistinct(document, addresses, findings);
  }

  private void checkReference(
      JsonNode instance, String pointer, String field, Set<String> known, FindingCode code) {
    JsonNode value = instance.path(field);
    if (value.isTextual() && !known.contains(value.asText())) {
      findings.add(
          document.finding(
              pointer + "/" + field,
              code,
              "the inventory lists no \"" + value.asText() + "\"",
              "Add it, or use one of " + known.stream().sorted().toList() + "."));
    }
  }

  private void checkServices() {
    JsonNode list = document.root().path("services");
    for (int i = 0; i < list.size(); i++) {
      checkShardCount(list.get(i).path("shardCount"), "/services/" + i + "/shardCount");
      JsonNode id = list.get(i).path("id");
      if (id.isTextual()) {
        checkSpread(id.asText(), "/services/" + i);
      }
    }
  }

  private void checkShardCount(JsonNode shardCount, String pointer) {
    if (shardCount.isInt() && Integer.bitCount(shardCount.asInt()) != 1) {
      findings.add(
          document.finding(
              pointer,
              FindingCode.INVALID_FORM,
              shardCount + " is no power of two",
              "Use a power of two such as 256 or 1024."));
    }
  }

  private void checkSpread(String service, String pointer) {
    Set<String> usedDataCentres = new HashSet<>();
    int instanceCount = 0;
    for (JsonNode instance : document.root().path("instances")) {
      if (instance.path("service").asText().equals(service)) {
        instanceCount++;
        usedDataCentres.add(instance.path("dataCentre").asText());
      }
    }
    if (instanceCount == 0) {
      findings.add(
          document.finding(
              pointer,
              FindingCode.NO_INSTANCES,
              "service " + service + " has no instances, so nobody can own its keys",
              "Add instances, or remove the service."));
    } else if (instanceCount < MIN_INSTANCES) {
      findings.add(
          spreadFinding(pointer, "service " + service + " has one instance and no standby for it"));
    } else if (dataCentres.size() > 1 && usedDataCentres.size() == 1) {
      findings.add(
          spreadFinding(
              pointer,
              "all instances of service %s are in data centre %s"
                  .formatted(service, usedDataCentres.iterator().next())));
    }
  }

  private Finding spreadFinding(String pointer, String message) {
    return document.finding(
        pointer,
        FindingCode.STANDBY_SPREAD_IMPOSSIBLE,
        message,
        "Put at least two instances into different data centres.");
  }
}
