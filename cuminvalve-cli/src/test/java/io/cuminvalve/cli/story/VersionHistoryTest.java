package io.cuminvalve.cli.story;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class VersionHistoryTest {

  private final VersionHistory history = new VersionHistory();

  @Test
  void versionsAreComparedByTheirNumbers() {
    history.onNamed("2.9", 100);
    history.onNamed("2.10", 200);
    history.onNamed("-", 250);
    assertThat(history.newest()).isEqualTo("2.10");
    history.onNamed("3.1", 300);
    assertThat(history.newest()).isEqualTo("3.1");
  }

  @Test
  void whoKnowsAnOlderOneIsBehindSinceTheFirstNewerOne() {
    history.onNamed("2.9", 100);
    history.onNamed("2.10", 200);
    history.onNamed("2.11", 300);
    history.onNamed("2.10", 350);
    assertThat(history.behindMs("2.9", 400)).isEqualTo(200);
    assertThat(history.behindMs("2.10", 400)).isEqualTo(100);
    assertThat(history.behindMs("2.11", 400)).isEqualTo(0);
  }

  @Test
  void nothingIsNewerThanNothing() {
    assertThat(history.newest()).isEqualTo("-");
    assertThat(history.behindMs("5", 400)).isEqualTo(0);
  }
}
