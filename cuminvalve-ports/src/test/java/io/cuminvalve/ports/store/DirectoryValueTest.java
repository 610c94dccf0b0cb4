package io.cuminvalve.ports.store;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.cuminvalve.kernel.CodedException;
import java.util.Arrays;
import java.util.Map;
import org.junit.jupiter.api.Test;

class DirectoryValueTest {

  @Test
  void entriesSurviveEncoding() {
    byte[] encoded =
        new DirectoryValue(Map.of("evacuate/león", new byte[0], "config", new byte[] {1, 0, 10}))
            .encode();
    DirectoryValue decoded = DirectoryValue.decode(encoded);
    assertThat(decoded.entries().keySet()).containsExactly("config", "evacuate/león");
    assertThat(decoded.find("config").orElseThrow()).isEqualTo(new byte[] {1, 0, 10});
    assertThat(decoded.find("missing").isPresent()).isFalse();
  }

  @Test
  void truncatedBytesAreRejected() {
    byte[] encoded = new DirectoryValue(Map.of("config", new byte[] {1, 2, 3})).encode();
    for (int length = 1; length < encoded.length; length++) {
      byte[] truncated = Arrays.copyOf(encoded, length);
      assertThrows(CodedException.class, () -> DirectoryValue.decode(truncated));
    }
  }

  @Test
  void directoriesEndWithTheSeparator() {
    assertThat(DirectoryValue.isDirectory("a/")).isTrue();
    assertThat(DirectoryValue.isDirectory("a/b")).isFalse();
    assertThat(DirectoryValue.isDirectory("")).isFalse();
  }
}
