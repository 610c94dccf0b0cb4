package io.cuminvalve.cli.story;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LineParserTest {

  private final LineParser parser = new LineParser("the-file", new DayAxis());

  @Test
  void secondAndNameMayStandBeforeTheTime() {
    LogLine line = parse("  -9.0041 edge-3 10:00:00.250 INFO event=term_gained term=2");
    assertThat(line.second()).isEqualTo("-9.0041");
    assertThat(line.process()).isEqualTo("edge-3");
    assertThat(line.time()).isEqualTo("10:00:00.250");
    assertThat(line.atMs()).isEqualTo(36_000_250);
    assertThat(line.event()).isEqualTo("term_gained");
    assertThat(line.values()).containsExactly("term", "2");
  }

  @Test
  void unnamedLineIsOfTheFileUntilSomeProcessStarts() {
    assertThat(parse("10:00:00.000 INFO event=term_lost why=x").process()).isEqualTo("the-file");
    assertThat(parse("10:00:00.000 INFO event=started process=g7").process()).isEqualTo("g7");
    assertThat(parse("10:00:00.100 INFO event=term_gained term=1").process()).isEqualTo("g7");
    LogLine secondOnly = parse("1.5 10:00:00.100 INFO event=term_gained term=1");
    assertThat(secondOnly.process()).isEqualTo("g7");
    assertThat(secondOnly.second()).isEqualTo("1.5");
  }

  @Test
  void theStatusIsTakenOutOfTheReason() {
    LogLine line = parse("10:00:00.000 INFO event=request_given_up id=r why=status=503 reason=x");
    assertThat(line.values()).containsExactly("id", "r", "status", "503", "why", "x");
  }

  @Test
  void valuesMayBeQuotedEmptyOrHoldBlanks() {
    LogLine line =
        parse("10:00:00.000 INFO event=e id= revision=4 why=\"bad a=b c\" route=x y key=-");
    assertThat(line.value("id")).isEmpty();
    assertThat(line.value("why")).isEqualTo("\"bad a=b c\"");
    assertThat(line.value("route")).isEqualTo("x y");
    assertThat(line.key()).isEmpty();
    assertThat(line.value("nothing")).isEqualTo("-");
  }

  @Test
  void anEventWithoutValuesIsRead() {
    assertThat(parse("10:00:00.000 INFO event=e").values()).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "some line of another program",
        "10:00:00.000 INFO nothing happened",
        "99:00:00.000 INFO event=e a=b",
        "9.0 g1 event=e a=b"
      })
  void otherLinesAreNoDecisions(String text) {
    assertThat(parser.parse(text)).isEmpty();
  }

  private LogLine parse(String text) {
    return parser.parse(text).orElseThrow();
  }
}
