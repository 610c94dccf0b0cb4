package io.cuminvalve.cli.story;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class LogLineTest {

  @Test
  void rangeHasItsEnds() {
    LogLine line = line("keys", "20-29");
    assertThat(line.covers(19)).isFalse();
    assertThat(line.covers(20)).isTrue();
    assertThat(line.covers(29)).isTrue();
    assertThat(line.covers(30)).isFalse();
  }

  @Test
  void rangesOverlapIfTheyShareKeys() {
    LogLine line = line("keys", "20-29");
    assertThat(line.overlaps(line("keys", "29-40"))).isTrue();
    assertThat(line.overlaps(line("keys", "10-20"))).isTrue();
    assertThat(line.overlaps(line("keys", "22-23"))).isTrue();
    assertThat(line.overlaps(line("keys", "30-40"))).isFalse();
    assertThat(line.overlaps(line("keys", "-"))).isFalse();
    assertThat(line("key", "5").overlaps(line)).isFalse();
  }

  @Test
  void whatIsNoRangeHasNoKey() {
    assertThat(line("keys", "a-b").covers(0)).isFalse();
    assertThat(line("keys", "-").covers(0)).isFalse();
    assertThat(line("key", "5").covers(5)).isFalse();
  }

  @Test
  void numbersAreReadAndCut() {
    assertThat(line("age_ms", "70").arrivedMs()).isEqualTo(930);
    assertThat(line("age_ms", "x").number("age_ms")).isEqualTo(0);
    assertThat(line("load", "0.4567").shortNumber("load")).isEqualTo("0.45");
    assertThat(line("load", "2.0").shortNumber("load")).isEqualTo("2.0");
  }

  private static LogLine line(String name, String value) {
    return new LogLine(1_000, "-", "00:00:01.000", "g1", "e", Map.of(name, value));
  }
}
