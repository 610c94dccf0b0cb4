package io.cuminvalve.core.quarantine;

import static com.google.common.truth.Truth.assertThat;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
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

  /** Gateways of different versions have to agree on fingerprints. */
  @Test
  void theDivisionOfTheBodyDoesNotMatter() {
    byte[] body = "x".repeat(5_000).concat("y").getBytes(StandardCharsets.UTF_8);
    List<byte[]> parts =
        List.of(Arrays.copyOfRange(body, 0, 3_000), Arrays.copyOfRange(body, 3_000, 5_001));
    HashStream64 expected = Hashing.xxh3_64().hashStream();
    expected.putString("GET").putString("a").putString("/x").putInt(7).putByteArray(body);
    assertThat(RequestFingerprint.of("GET", "a", "/x", OptionalInt.of(7), parts).value())
        .isEqualTo(expected.getAsLong());
    assertThat(RequestFingerprint.of("GET", "a", "/x", OptionalInt.of(7), body).value())
        .isEqualTo(expected.getAsLong());
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
