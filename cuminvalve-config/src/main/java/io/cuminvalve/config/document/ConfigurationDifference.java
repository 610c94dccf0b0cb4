package io.cuminvalve.config.document;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cuminvalve.config.JsonMappers;
import io.cuminvalve.core.inventory.Inventory;
import io.cuminvalve.core.rule.RequestRule;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.StringJoiner;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * What changes from one configuration to another.
 *
 * @param changes every entry that differs; not null, copied
 * @since 0.1
 */
public record ConfigurationDifference(List<ConfigurationChange> changes) {

  private static final JsonMapper MAPPER = JsonMappers.strict();
  private static final Inventory NOTHING = new Inventory(List.of(), List.of(), List.of());

  /** Copies the list. */
  public ConfigurationDifference {
    changes = List.copyOf(changes);
  }

  /**
   * Compares two configurations.
   *
   * @param olderInventory the older inventory; not null
   * @param olderRules the older rules; not null
   * @param newerInventory the newer inventory; not null
   * @param newerRules the newer rules; not null
   * @return what differs
   */
  public static ConfigurationDifference between(
      Inventory olderInventory,
      List<RequestRule> olderRules,
      Inventory newerInventory,
      List<RequestRule> newerRules) {
    List<ConfigurationChange> changes = new ArrayList<>();
    compare("data centre", olderInventory.dataCentres(), newerInventory.dataCentres(), changes);
    compare("service", olderInventory.services(), newerInventory.services(), changes);
    compare("instance", olderInventory.instances(), newerInventory.instances(), changes);
    compare("rule", olderRules, newerRules, changes);
    compareOrder(olderRules, newerRules, changes);
    return new ConfigurationDifference(changes);
  }

  /**
   * Describes a first configuration.
   *
   * @param inventory the inventory; not null
   * @param rules the rules; not null
   * @return everything as added
   */
  public static ConfigurationDifference first(Inventory inventory, List<RequestRule> rules) {
    return between(NOTHING, List.of(), inventory, rules);
  }

  /**
   * Tells whether nothing differs.
   *
   * @return true if there are no changes
   */
  public boolean isEmpty() {
    return changes.isEmpty();
  }

  /**
   * Sums up the changes.
   *
   * @return one line, such as {@code 2 added, 1 changed}
   */
  public String summary() {
    if (changes.isEmpty()) {
      return "no change";
    }
    StringJoiner summary = new StringJoiner(", ");
    for (ConfigurationChange.Kind kind : ConfigurationChange.Kind.values()) {
      long count = changes.stream().filter(change -> change.kind() == kind).count();
      if (count > 0) {
        summary.add(count + " " + kind.name().toLowerCase(Locale.ROOT));
      }
    }
    return summary.toString();
  }

  private static void compare(
      String list, List<?> older, List<?> newer, List<ConfigurationChange> changes) {
    Map<String, ObjectNode> olderById = byId(older);
    Map<String, ObjectNode> newerById = byId(newer);
    olderById.forEach(
        (id, entry) -> {
          if (!newerById.containsKey(id)) {
            changes.add(change(ConfigurationChange.Kind.REMOVED, list, id, ""));
          }
        });
    newerById.forEach(
        (id, entry) -> {
          ObjectNode before = olderById.get(id);
          if (before == null) {
            changes.add(change(ConfigurationChange.Kind.ADDED, list, id, ""));
          } else if (!before.equals(entry)) {
            String detail = fieldChanges(before, entry);
            changes.add(change(ConfigurationChange.Kind.CHANGED, list, id, detail));
          }
        });
  }

  /** The first match wins, so the order of the rules that both have matters. */
  private static void compareOrder(
      List<RequestRule> older, List<RequestRule> newer, List<ConfigurationChange> changes) {
    List<String> olderCommon = commonIds(older, newer);
    List<String> newerCommon = commonIds(newer, older);
    for (int i = 0; i < olderCommon.size(); i++) {
      if (!olderCommon.get(i).equals(newerCommon.get(i))) {
        changes.add(
            change(ConfigurationChange.Kind.MOVED, "rule", newerCommon.get(i), "order of rules"));
      }
    }
  }

  private static List<String> commonIds(List<RequestRule> rules, List<RequestRule> others) {
    return rules.stream()
        .map(rule -> rule.id().value())
        .filter(id -> others.stream().anyMatch(other -> other.id().value().equals(id)))
        .toList();
  }

  private static Map<String, ObjectNode> byId(List<?> entries) {
    return entries.stream()
        .map(entry -> (ObjectNode) MAPPER.valueToTree(entry))
        .collect(
            Collectors.toMap(
                entry -> entry.path("id").asText(),
                Function.identity(),
                (first, second) -> first,
                LinkedHashMap::new));
  }

  private static String fieldChanges(ObjectNode before, ObjectNode after) {
    StringJoiner detail = new StringJoiner(", ");
    after
        .fieldNames()
        .forEachRemaining(
            field -> {
              JsonNode oldValue = before.path(field);
              JsonNode newValue = after.path(field);
              if (!oldValue.equals(newValue)) {
                detail.add(field + " " + oldValue + " -> " + newValue);
              }
            });
    return detail.toString();
  }

  private static ConfigurationChange change(
      ConfigurationChange.Kind kind, String list, String id, String detail) {
    return new ConfigurationChange(kind, list + " " + id, detail);
  }
}
