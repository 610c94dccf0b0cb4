package io.cuminvalve.load.profile;

import static io.cuminvalve.core.rule.RequestClass.DEFERRABLE;
import static io.cuminvalve.core.rule.RequestClass.INTERACTIVE;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.util.List;

/**
 * The profiles of the two example configurations.
 *
 * @since 0.1
 */
public final class Profiles {

  private static final int SMALL = 512;
  private static final int DOCUMENT = 48 * 1024;
  private static final int KEYS = 20_000;
  private static final int HOT_KEYS = 12;
  private static final int HOT_PERCENT = 20;
  private static final long SHIFT_MS = 5_000;

  private Profiles() {}

  /**
   * Home contents claims, with a flood that moves from district to district.
   *
   * @return the profile
   */
  public static Profile resguardo() {
    return new Profile(
        "resguardo",
        List.of(
            read("policy-lookup", "/policies/{key}", 30, SMALL, 2_000),
            read("claim-lookup", "/claims/{key}", 30, SMALL, 2_000),
            update("claim-update", "/claims/{key}", 8, SMALL, 3_000),
            once("settlement-payout", "/claims/{key}/payouts", 8, 5_000),
            update("document-upload", "/documents/{key}/photo-1", 6, DOCUMENT, 30_000),
            read("document-fetch", "/documents/{key}/photo-1", 6, DOCUMENT, 30_000),
            read("document-list", "/documents/{key}", 4, SMALL, 3_000),
            deferrable("ledger-reconciliation", "/ledgers/{key}/entries", null, 8, 30_000)),
        KeyChooser.shifting(KEYS, HOT_KEYS, HOT_PERCENT, SHIFT_MS));
  }

  /**
   * Catering quotes and bookings, with a wedding season that moves from venue to venue.
   *
   * @return the profile
   */
  public static Profile cotiza() {
    return new Profile(
        "cotiza",
        List.of(
            read("menu-prices", "/menus/{key}/prices", 30, SMALL, 2_000),
            read("quote-lookup", "/quotes/{key}", 25, SMALL, 2_000),
            update("quote-update", "/quotes/{key}", 8, SMALL, 3_000),
            once("tasting-booking", "/quotes/{key}/tastings", 7, 5_000),
            once("deposit-confirmation", "/quotes/{key}/deposits", 7, 5_000),
            update("media-upload", "/media/{key}/floor-plan", 6, DOCUMENT, 30_000),
            read("media-fetch", "/media/{key}/floor-plan", 9, DOCUMENT, 30_000),
            deferrable("archived-quote", "/archive/quotes", "Quote-Id", 8, 30_000)),
        KeyChooser.shifting(KEYS, HOT_KEYS, HOT_PERCENT, SHIFT_MS));
  }

  /**
   * Returns a profile by its name.
   *
   * @param name {@code resguardo} or {@code cotiza}; not null
   * @return the profile
   * @throws io.cuminvalve.kernel.CodedException with code INVALID_INPUT for another name
   */
  public static Profile byName(String name) {
    return switch (name) {
      case "resguardo" -> resguardo();
      case "cotiza" -> cotiza();
      default -> throw new CodedException(ErrorCode.INVALID_INPUT, "no profile is named " + name);
    };
  }

  private static OperationKind read(
      String name, String path, int weight, int answerBytes, long timeoutMs) {
    return new OperationKind(
        name, "GET", path, null, true, INTERACTIVE, weight, 0, answerBytes, timeoutMs);
  }

  private static OperationKind update(
      String name, String path, int weight, int bodyBytes, long timeoutMs) {
    return new OperationKind(
        name, "PUT", path, null, true, INTERACTIVE, weight, bodyBytes, SMALL, timeoutMs);
  }

  private static OperationKind once(String name, String path, int weight, long timeoutMs) {
    return new OperationKind(
        name, "POST", path, null, false, INTERACTIVE, weight, SMALL, SMALL, timeoutMs);
  }

  private static OperationKind deferrable(
      String name, String path, String keyHeader, int weight, long timeoutMs) {
    return new OperationKind(
        name, "GET", path, keyHeader, true, DEFERRABLE, weight, 0, SMALL, timeoutMs);
  }
}
