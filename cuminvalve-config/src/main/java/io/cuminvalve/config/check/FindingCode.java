package io.cuminvalve.config.check;

/**
 * The kinds of fault that a check can find.
 *
 * @since 0.1
 */
public enum FindingCode {
  /** The file can't be read or is no JSON. */
  UNREADABLE,
  /** A field that the schema does not know. */
  UNKNOWN_FIELD,
  /** A field whose name lacks its unit, such as {@code timeout} for {@code timeoutMs}. */
  MISSING_UNIT,
  /** A required field is not there. */
  MISSING_FIELD,
  /** A value of another JSON type. */
  WRONG_TYPE,
  /** A value that is none of those allowed. */
  UNKNOWN_VALUE,
  /** A number outside its bounds, or a list or text of the wrong length. */
  OUT_OF_RANGE,
  /** A text that does not have the required form. */
  INVALID_FORM,
  /** An address that is no IP address with a port. */
  NOT_AN_IP_ADDRESS,
  /** Two entries with the same identifier. */
  DUPLICATE_ID,
  /** Two listeners or instances with the same address. */
  DUPLICATE_ADDRESS,
  /** An instance in a data centre that the inventory does not list. */
  UNKNOWN_DATA_CENTRE,
  /** A reference to a service that the inventory does not list. */
  UNKNOWN_SERVICE,
  /** An instance without slots or connections. */
  ZERO_CAPACITY,
  /** A service without instances that could own its keys. */
  NO_INSTANCES,
  /** A service whose owner and standby can't be kept apart. */
  STANDBY_SPREAD_IMPOSSIBLE,
  /** A rule that no request can reach. */
  RULE_MATCHES_NOTHING,
  /** A rule whose key is not part of its path template. */
  KEY_NOT_IN_PATH,
  /** Two rules that treat the same request in different ways. */
  RULES_CONTRADICT,
  /** A published service would get another number of shards. */
  SHARD_COUNT_CHANGED,
  /** Durations that make no sense together. */
  TIMINGS_CONTRADICT
}
