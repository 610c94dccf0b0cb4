package io.cuminvalve.router.caller;

import io.cuminvalve.core.id.RequestId;
import java.util.HexFormat;
import java.util.random.RandomGenerator;

/**
 * Makes identifiers of requests.
 *
 * @since 0.1
 */
public final class RequestIds {

  private final RandomGenerator random;

  /**
   * Creates a source of identifiers.
   *
   * @param random safe for use by several threads; not null
   */
  public RequestIds(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns an identifier that no other request has.
   *
   * @return 32 hexadecimal digits
   */
  public RequestId next() {
    HexFormat hex = HexFormat.of();
    return new RequestId(hex.toHexDigits(random.nextLong()) + hex.toHexDigits(random.nextLong()));
  }
}
