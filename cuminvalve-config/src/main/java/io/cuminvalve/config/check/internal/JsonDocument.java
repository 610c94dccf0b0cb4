package io.cuminvalve.config.check.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.cuminvalve.config.JsonMappers;
import io.cuminvalve.config.check.CheckFailedException;
import io.cuminvalve.config.check.CheckReport;
import io.cuminvalve.config.check.Finding;
import io.cuminvalve.config.check.FindingCode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * A JSON document and the name under which findings refer to it.
 *
 * @param name the file's name; not null
 * @param root its content; not null
 * @since 0.1
 */
public record JsonDocument(String name, JsonNode root) {

  private static final JsonMapper MAPPER = JsonMappers.strict();
  private static final long MAX_FILE_BYTES = 8L << 20;

  /**
   * Reads a file.
   *
   * @param path the file; not null
   * @return its content
   * @throws CheckFailedException if it can't be read or is no JSON
   */
  public static JsonDocument read(Path path) {
    String name = String.valueOf(path.getFileName());
    try {
      if (Files.size(path) > MAX_FILE_BYTES) {
        throw unreadable(name, "the file is too large", "Keep it under 8 MiB.");
      }
      return parse(name, Files.readAllBytes(path));
    } catch (IOException e) {
      throw unreadable(name, "can't read " + path, "Check the path and its permissions.");
    }
  }

  /**
   * Parses a document.
   *
   * @param name the name for findings; not null
   * @param json UTF-8 JSON; not null
   * @return its content
   * @throws CheckFailedException if it is no JSON
   */
  public static JsonDocument parse(String name, byte[] json) {
    try {
      JsonNode root = MAPPER.readTree(json);
      if (root == null || root.isMissingNode()) {
        throw unreadable(name, "the file is empty", "Write one JSON object.");
      }
      return new JsonDocument(name, root);
    } catch (JsonProcessingException e) {
      String where =
          e.getLocation() == null
              ? ""
              : " at line %d, column %d"
                  .formatted(e.getLocation().getLineNr(), e.getLocation().getColumnNr());
      throw unreadable(name, "no JSON" + where + ": " + e.getOriginalMessage(), "Correct it.");
    } catch (IOException e) {
      throw unreadable(name, "no readable text: " + e.getMessage(), "Store it as UTF-8.");
    }
  }

  /**
   * Creates a finding about a value of this document.
   *
   * @param pointer the JSON pointer of the value; not null
   * @param code the kind of fault; not null
   * @param message what is wrong; not null
   * @param hint what to do about it; not null
   * @return the finding
   */
  public Finding finding(String pointer, FindingCode code, String message, String hint) {
    return new Finding(name + "#" + pointer, code, message, hint);
  }

  private static CheckFailedException unreadable(String name, String message, String hint) {
    Finding finding = new Finding(name + "#", FindingCode.UNREADABLE, message, hint);
    return new CheckFailedException(new CheckReport(List.of(finding)));
  }
}
