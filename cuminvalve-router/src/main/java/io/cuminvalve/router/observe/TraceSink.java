package io.cuminvalve.router.observe;

/**
 * Takes the finished requests of an access trace.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface TraceSink {

  /** Writes nothing. */
  TraceSink NONE = (record, times) -> {};

  /**
   * Writes one request. Does not block.
   *
   * @param record the finished request; not null
   * @param times where its time went; not null
   */
  void write(RequestRecord record, RequestTimes times);
}
