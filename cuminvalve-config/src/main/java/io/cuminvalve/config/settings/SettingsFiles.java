package io.cuminvalve.config.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cuminvalve.config.JsonMappers;
import io.cuminvalve.config.check.CheckFailedException;
import io.cuminvalve.config.check.CheckReport;
import io.cuminvalve.config.check.Finding;
import io.cuminvalve.config.check.internal.JsonDocument;
import io.cuminvalve.config.check.internal.SchemaCheck;
import io.cuminvalve.config.check.internal.SettingsCheck;
import io.cuminvalve.core.authority.AuthorityTimings;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads and checks settings files.
 *
 * <p>A relative {@code sharedKeyPath} starts at the folder of the settings file. What the optional
 * parts {@code timings} and {@code traffic} leave out has its default.
 *
 * @since 0.1
 */
public final class SettingsFiles {

  private static final JsonMapper MAPPER = JsonMappers.strict();
  private static final SchemaCheck ROUTER_SCHEMA = SchemaCheck.load("router-settings");
  private static final SchemaCheck CONTROLLER_SCHEMA = SchemaCheck.load("controller-settings");
  private static final SchemaCheck OPERATOR_SCHEMA = SchemaCheck.load("operator-settings");
  private static final String KEY_PATH_FIELD = "sharedKeyPath";

  private SettingsFiles() {}

  /**
   * Reads the settings of a router.
   *
   * @param path the file; not null
   * @return the settings
   * @throws CheckFailedException with all findings
   */
  public static RouterSettings router(Path path) {
    return read(path, ROUTER_SCHEMA, RouterSettings.class);
  }

  /**
   * Reads the settings of a controller.
   *
   * @param path the file; not null
   * @return the settings
   * @throws CheckFailedException with all findings
   */
  public static ControllerSettings controller(Path path) {
    return read(path, CONTROLLER_SCHEMA, ControllerSettings.class);
  }

  /**
   * Reads the settings of the operators' command line.
   *
   * @param path the file; not null
   * @return the settings
   * @throws CheckFailedException with all findings
   */
  public static OperatorSettings operator(Path path) {
    return read(path, OPERATOR_SCHEMA, OperatorSettings.class);
  }

  private static <T> T read(Path path, SchemaCheck schema, Class<T> type) {
    JsonDocument document = JsonDocument.read(path);
    List<Finding> findings = new ArrayList<>(schema.check(document));
    findings.addAll(SettingsCheck.check(document));
    if (!findings.isEmpty()) {
      throw new CheckFailedException(new CheckReport(findings));
    }
    ObjectNode root = document.root().deepCopy();
    fillIn(root, "timings", AuthorityTimings.DEFAULT);
    fillIn(root, "traffic", TrafficSettings.defaults());
    resolveKeyPath(root, path);
    return map(root, type);
  }

  private static void fillIn(ObjectNode root, String part, Object defaults) {
    JsonNode given = root.path(part);
    if (given.isObject()) {
      ObjectNode merged = MAPPER.valueToTree(defaults);
      merged.setAll((ObjectNode) given);
      root.set(part, merged);
    }
  }

  private static void resolveKeyPath(ObjectNode root, Path settingsPath) {
    Path keyPath = settingsPath.toAbsolutePath().resolveSibling(root.path(KEY_PATH_FIELD).asText());
    root.put(KEY_PATH_FIELD, keyPath.normalize().toUri().toString());
  }

  private static <T> T map(JsonNode node, Class<T> type) {
    try {
      return MAPPER.treeToValue(node, type);
    } catch (JsonProcessingException e) {
      // The schema allows something that the model does not: a fault of ours.
      throw new CodedException(ErrorCode.INTERNAL, "checked settings can't be read", e);
    }
  }
}
