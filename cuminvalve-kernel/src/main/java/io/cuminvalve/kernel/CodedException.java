package io.cuminvalve.kernel;

import java.util.Objects;

/**
 * An unchecked exception that carries an {@link ErrorCode}.
 *
 * @since 0.1
 */
public class CodedException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final ErrorCode code;

  /**
   * Creates an exception without a cause.
   *
   * @param code what went wrong; not null
   * @param message details for an operator; not null, without secrets
   */
  public CodedException(ErrorCode code, String message) {
    super(message);
    this.code = Objects.requireNonNull(code, "code");
  }

  /**
   * Creates an exception with a cause.
   *
   * @param code what went wrong; not null
   * @param message details for an operator; not null, without secrets
   * @param cause the underlying failure; may be null
   */
  public CodedException(ErrorCode code, String message, Throwable cause) {
    super(message, cause);
    this.code = Objects.requireNonNull(code, "code");
  }

  /**
   * Returns the code.
   *
   * @return never null
   */
  public ErrorCode code() {
    return code;
  }
}
