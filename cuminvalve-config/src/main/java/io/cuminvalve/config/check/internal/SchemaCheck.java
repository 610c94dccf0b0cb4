package io.cuminvalve.config.check.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Error;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import io.cuminvalve.config.check.Finding;
import io.cuminvalve.config.check.FindingCode;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Compares a document with a shipped JSON Schema and explains each difference.
 *
 * @since 0.1
 */
public final class SchemaCheck {

  private static final String FOLDER = "/io/cuminvalve/config/schema/";
  private static final List<String> UNITS = List.of("Ms", "Bytes", "Count");
  private static final Set<String> CAPACITY_FIELDS = Set.of("slots", "maxConnections");

  private final Schema schema;

  private SchemaCheck(Schema schema) {
    this.schema = schema;
  }

  /**
   * Loads a shipped schema.
   *
   * @param name its name without the ending {@code .schema.json}; not null
   * @return a check, safe for use by several threads
   */
  public static SchemaCheck load(String name) {
    String resource = FOLDER + name + ".schema.json";
    try (InputStream input = SchemaCheck.class.getResourceAsStream(resource)) {
      SchemaRegistry registry =
          SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12);
      return new SchemaCheck(registry.getSchema(input, InputFormat.JSON));
    } catch (IOException e) {
      throw new UncheckedIOException("schema " + resource, e);
    }
  }

  /**
   * Checks a document.
   *
   * @param document the document; not null
   * @return every difference from the schema; empty if there is none
   */
  public List<Finding> check(JsonDocument document) {
    List<Error> errors = schema.validate(document.root());
    Set<String> explained = fieldsWithoutUnit(errors);
    List<Finding> findings = new ArrayList<>();
    for (Error error : errors) {
      boolean sameFault = isMissing(error) && explained.contains(pointerOfProperty(error));
      if (!sameFault) {
        findings.add(explain(document, error));
      }
    }
    return findings;
  }

  /** Returns the pointers of the fields that were meant by names without their unit. */
  private Set<String> fieldsWithoutUnit(List<Error> errors) {
    Set<String> pointers = new HashSet<>();
    for (Error error : errors) {
      String intended = isUnknown(error) ? withUnit(error) : null;
      if (intended != null) {
        pointers.add(pointer(error) + "/" + intended);
      }
    }
    return pointers;
  }

  private Finding explain(JsonDocument document, Error error) {
    String pointer = pointer(error);
    return switch (error.getKeyword()) {
      case "additionalProperties" -> explainUnknown(document, error);
      case "required" ->
          document.finding(
              pointerOfProperty(error),
              FindingCode.MISSING_FIELD,
              "field " + error.getProperty() + " is missing",
              "Add it.");
      case "type" ->
          document.finding(
              pointer, FindingCode.WRONG_TYPE, error.getMessage(), typeHint(error, pointer));
      case "enum" ->
          document.finding(
              pointer,
              FindingCode.UNKNOWN_VALUE,
              "%s is not allowed here".formatted(error.getInstanceNode()),
              "Use one of " + error.getSchemaNode() + ".");
      case "pattern" -> explainForm(document, error);
      case "minimum" -> explainMinimum(document, error);
      default ->
          document.finding(
              pointer, FindingCode.OUT_OF_RANGE, error.getMessage(), "Keep to the bounds.");
    };
  }

  private Finding explainUnknown(JsonDocument document, Error error) {
    String pointer = pointerOfProperty(error);
    String name = error.getProperty();
    String intended = withUnit(error);
    if (intended != null) {
      return document.finding(
          pointer,
          FindingCode.MISSING_UNIT,
          "field " + name + " has no unit in its name",
          "Write " + intended + " and give a number in that unit.");
    }
    return document.finding(
        pointer,
        FindingCode.UNKNOWN_FIELD,
        "field " + name + " is unknown",
        "Remove it, or use one of " + knownFields(error) + ".");
  }

  private static Finding explainForm(JsonDocument document, Error error) {
    String value = error.getInstanceNode().asText();
    if (error.getSchemaLocation().toString().contains("/address/")) {
      return Addresses.finding(document, pointer(error), value);
    }
    return document.finding(
        pointer(error),
        FindingCode.INVALID_FORM,
        "\"" + value + "\" does not have the required form",
        "It has to match " + error.getSchemaNode().asText() + ".");
  }

  private static Finding explainMinimum(JsonDocument document, Error error) {
    String pointer = pointer(error);
    String field = pointer.substring(pointer.lastIndexOf('/') + 1);
    if (CAPACITY_FIELDS.contains(field)) {
      return document.finding(
          pointer,
          FindingCode.ZERO_CAPACITY,
          field + " is " + error.getInstanceNode() + ", so the instance can serve nothing",
          "Give its real capacity, or remove the instance.");
    }
    return document.finding(
        pointer,
        FindingCode.OUT_OF_RANGE,
        error.getInstanceNode() + " is too small",
        "Give at least " + error.getSchemaNode() + ".");
  }

  private static String typeHint(Error error, String pointer) {
    boolean carriesUnit = UNITS.stream().anyMatch(pointer::endsWith);
    if (carriesUnit && error.getInstanceNode().isTextual()) {
      return "Give a plain number: the unit is part of the field's name.";
    }
    return "Give a value of type " + error.getSchemaNode().asText() + ".";
  }

  /** Returns the known field that an unknown one becomes with a unit, or null. */
  private String withUnit(Error error) {
    Set<String> known = knownFields(error);
    return UNITS.stream()
        .map(unit -> error.getProperty() + unit)
        .filter(known::contains)
        .findFirst()
        .orElse(null);
  }

  private Set<String> knownFields(Error error) {
    String location = error.getSchemaLocation().getFragment().toString();
    String object = location.substring(0, location.lastIndexOf('/'));
    JsonNode properties = schema.getSchemaNode().at(object + "/properties");
    Set<String> names = new TreeSet<>();
    properties.fieldNames().forEachRemaining(names::add);
    return names;
  }

  private static boolean isUnknown(Error error) {
    return error.getKeyword().equals("additionalProperties");
  }

  private static boolean isMissing(Error error) {
    return error.getKeyword().equals("required");
  }

  private static String pointer(Error error) {
    return error.getInstanceLocation().toString();
  }

  private static String pointerOfProperty(Error error) {
    return pointer(error) + "/" + error.getProperty();
  }
}
