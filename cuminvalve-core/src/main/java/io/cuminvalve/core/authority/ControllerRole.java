package io.cuminvalve.core.authority;

/**
 * What a controller does in a cell.
 *
 * @since 0.1
 */
public enum ControllerRole {
  /** Watches the holder, ready to take the term. */
  STANDBY,
  /** Is taking the term and finding out what the last holder did. */
  TAKING_OVER,
  /** Holds the term. */
  HOLDER
}
