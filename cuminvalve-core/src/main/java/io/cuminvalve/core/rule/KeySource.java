package io.cuminvalve.core.rule;

/**
 * The location of the key in a request.
 *
 * @param place header or path; not null
 * @param name the name of the header or of the path template variable; not null
 * @since 0.1
 */
public record KeySource(Place place, String name) {

  /** The part of a request that holds the key. */
  public enum Place {
    /** A header field. */
    HEADER,
    /** A segment of the path template. */
    PATH
  }
}
