package io.cuminvalve.load.replay;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import io.cuminvalve.config.JsonMappers;
import io.cuminvalve.core.replay.TraceEvent;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads traces and stated outcomes: JSON Lines, one record a line.
 *
 * <p>The field {@code type} of an event is the name of its record in {@link TraceEvent}; the other
 * fields are the record's components. Empty lines and lines that start with {@code #} are skipped.
 *
 * @since 0.1
 */
public final class TraceFiles {

  private static final JsonMapper MAPPER = mapper();

  private TraceFiles() {}

  /** Tells events apart by the name of their record. */
  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
  private interface NamedByType {}

  /**
   * Reads the events of a trace.
   *
   * @param lines the lines of the file; not null
   * @return in the order of the file; never null
   * @throws CodedException with code INVALID_INPUT and the number of the line if one is malformed
   */
  public static List<TraceEvent> events(List<String> lines) {
    return read(lines, TraceEvent.class);
  }

  /**
   * Reads stated outcomes.
   *
   * @param lines the lines of the file; not null
   * @return in the order of the file; never null
   * @throws CodedException with code INVALID_INPUT and the number of the line if one is malformed
   */
  public static List<ExpectedOutcome> outcomes(List<String> lines) {
    return read(lines, ExpectedOutcome.class);
  }

  private static <T> List<T> read(List<String> lines, Class<T> type) {
    List<T> records = new ArrayList<>();
    for (int i = 0; i < lines.size(); i++) {
      String line = lines.get(i).strip();
      if (line.isEmpty() || line.startsWith("#")) {
        continue;
      }
      try {
        records.add(MAPPER.readValue(line, type));
      } catch (JsonProcessingException e) {
        throw new CodedException(
            ErrorCode.INVALID_INPUT, "line " + (i + 1) + ": " + e.getOriginalMessage(), e);
      }
    }
    return records;
  }

  private static JsonMapper mapper() {
    JsonMapper mapper = JsonMappers.strict().copy();
    mapper.addMixIn(TraceEvent.class, NamedByType.class);
    for (Class<?> type : TraceEvent.class.getPermittedSubclasses()) {
      mapper.registerSubtypes(new NamedType(type, type.getSimpleName()));
    }
    return mapper;
  }
}
