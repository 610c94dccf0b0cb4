package io.cuminvalve.config.check;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.cuminvalve.config.JsonMappers;
import io.cuminvalve.config.check.internal.InventoryCheck;
import io.cuminvalve.config.check.internal.JsonDocument;
import io.cuminvalve.config.check.internal.RulesCheck;
import io.cuminvalve.config.check.internal.SchemaCheck;
import io.cuminvalve.core.inventory.Inventory;
import io.cuminvalve.core.rule.RequestRule;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads and checks the files that operators publish.
 *
 * @since 0.1
 */
public final class ConfigurationFiles {

  private static final JsonMapper MAPPER = JsonMappers.strict();
  private static final SchemaCheck INVENTORY_SCHEMA = SchemaCheck.load("inventory");
  private static final SchemaCheck RULES_SCHEMA = SchemaCheck.load("rules");

  private ConfigurationFiles() {}

  /**
   * An inventory and rules that passed every check.
   *
   * @param inventory the inventory; not null
   * @param rules the rules; not null, copied
   * @since 0.1
   */
  public record Checked(Inventory inventory, List<RequestRule> rules) {

    /** Copies the rules. */
    public Checked {
      rules = List.copyOf(rules);
    }
  }

  private record RulesFile(List<RequestRule> rules) {}

  /**
   * Reads and checks two files.
   *
   * @param inventoryPath the inventory; not null
   * @param rulesPath the rules; not null
   * @return their content
   * @throws CheckFailedException with all findings of both files
   */
  public static Checked read(Path inventoryPath, Path rulesPath) {
    List<Finding> unreadable = new ArrayList<>();
    JsonDocument inventory = readOrReport(inventoryPath, unreadable);
    JsonDocument rules = readOrReport(rulesPath, unreadable);
    if (!unreadable.isEmpty()) {
      throw new CheckFailedException(new CheckReport(unreadable));
    }
    return checked(inventory, rules);
  }

  /**
   * Checks two documents that are already in memory.
   *
   * @param inventoryJson the inventory, UTF-8 JSON; not null
   * @param rulesJson the rules, UTF-8 JSON; not null
   * @return their content
   * @throws CheckFailedException with all findings of both documents
   */
  public static Checked parse(byte[] inventoryJson, byte[] rulesJson) {
    return checked(
        JsonDocument.parse("inventory.json", inventoryJson),
        JsonDocument.parse("rules.json", rulesJson));
  }

  private static JsonDocument readOrReport(Path path, List<Finding> findings) {
    try {
      return JsonDocument.read(path);
    } catch (CheckFailedException e) {
      findings.addAll(e.report().findings());
      return null;
    }
  }

  private static Checked checked(JsonDocument inventory, JsonDocument rules) {
    List<Finding> findings = new ArrayList<>(INVENTORY_SCHEMA.check(inventory));
    findings.addAll(InventoryCheck.check(inventory));
    findings.addAll(RULES_SCHEMA.check(rules));
    findings.addAll(RulesCheck.check(rules, inventory));
    if (!findings.isEmpty()) {
      throw new CheckFailedException(new CheckReport(findings));
    }
    return new Checked(
        map(inventory.root(), Inventory.class), map(rules.root(), RulesFile.class).rules());
  }

  private static <T> T map(JsonNode node, Class<T> type) {
    try {
      return MAPPER.treeToValue(node, type);
    } catch (JsonProcessingException e) {
      // The schema allows something that the model does not: a fault of ours.
      throw new CodedException(ErrorCode.INTERNAL, "checked input can't be read", e);
    }
  }
}
