package io.cuminvalve.core.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

class RequestFingerprintTest {

  private static final RequestFingerprint PLAIN = of("GET", "a.example", "/x/1", 7, "");

  @Test
  void equalRequestsHaveEqualFingerprints() {
    assertThat(of("GET", "a.example", "/x/1", 7, "")).isEqualTo(PLAIN);
    assertThat(PLAIN.by("10.0.0.1")).isEqualTo(PLAIN.by("10.0.0.1"));
  }

  @Test
  void everyPartOfContentMatters() {
    assertThat(of("POST", "a.example", "/x/1", 7, "")).isNotEqualTo(PLAIN);
    assertThat(of("GET", "b.example", "/x/1", 7, "")).isNotEqualTo(PLAIN);
    assertThat(of("GET", "a.example", "/x/1?a=1", 7, "")).isNotEqualTo(PLAIN);
    assertThat(of("GET", "a.example", "/x/1", 8, "")).isNotEqualTo(PLAIN);
    assertThat(of("GET", "a.example", "/x/1", 7, "body")).isNotEqualTo(PLAIN);
  }

  @Test
  void callerMattersOnlyInCombinedFingerprint() {
    assertThat(PLAIN.by("10.0.0.1")).isNotEqualTo(PLAIN);
    assertThat(PLAIN.by("10.0.0.1")).isNotEqualTo(PLAIN.by("10.0.0.2"));
  }

  @Test
  void adjacentPartsAreDelimited() {
    assertThat(of("GET", "a", "b/x", 7, "")).isNotEqualTo(of("GET", "ab", "/x", 7, ""));
  }

  @Test
  void toStringHasSixteenDigits() {
    assertThat(new RequestFingerprint(10).toString()).isEqualTo("000000000000000a");
  }

  private static RequestFingerprint of(
      String method, String host, String pathAndQuery, int key, String body) {
    return RequestFingerprint.of(
        method, host, pathAndQuery, OptionalInt.of(key), body.getBytes(StandardCharsets.UTF_8));
  }
}
