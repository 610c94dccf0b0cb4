package io.cuminvalve.load.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;

/**
 * Writes summaries as JSON.
 *
 * @since 0.1
 */
public final class SummaryJson {

  private static final ObjectMapper JSON =
      new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

  private SummaryJson() {}

  /**
   * Writes a summary.
   *
   * @param summary any record of this package; not null
   * @return indented JSON
   */
  public static String write(Object summary) {
    try {
      return JSON.writeValueAsString(summary);
    } catch (JsonProcessingException e) {
      throw new CodedException(ErrorCode.INTERNAL, "cannot write the summary", e);
    }
  }
}
