package io.cuminvalve.cli.story;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class DayAxisTest {

  private static final long MINUTE_MS = 60_000;
  private static final long DAY_MS = 24 * 60 * MINUTE_MS;
  private static final long BEFORE_MIDNIGHT = DAY_MS - MINUTE_MS;

  private final DayAxis axis = new DayAxis();

  @Test
  void logGoesOnAfterMidnight() {
    axis.beginLog();
    assertThat(axis.place(BEFORE_MIDNIGHT)).isEqualTo(BEFORE_MIDNIGHT);
    assertThat(axis.place(MINUTE_MS)).isEqualTo(DAY_MS + MINUTE_MS);
    assertThat(DayAxis.timeAt(DAY_MS + MINUTE_MS)).isEqualTo("00:01:00.000");
  }

  @Test
  void logThatBeginsAfterMidnightFollowsOneThatBeganBefore() {
    axis.beginLog();
    axis.place(BEFORE_MIDNIGHT);
    axis.beginLog();
    assertThat(axis.place(MINUTE_MS)).isEqualTo(DAY_MS + MINUTE_MS);
  }

  @Test
  void logThatBeginsBeforeMidnightComesBeforeOneThatBeganAfter() {
    axis.beginLog();
    axis.place(MINUTE_MS);
    axis.beginLog();
    assertThat(axis.place(BEFORE_MIDNIGHT)).isEqualTo(-MINUTE_MS);
    assertThat(DayAxis.timeAt(-MINUTE_MS)).isEqualTo("23:59:00.000");
  }

  @Test
  void severalLogsOfOneLongDayBeginTogether() {
    axis.beginLog();
    axis.place(MINUTE_MS);
    for (long hour = 6; hour < 24; hour += 6) {
      axis.place(hour * 60 * MINUTE_MS);
    }
    axis.beginLog();
    assertThat(axis.place(MINUTE_MS)).isEqualTo(MINUTE_MS);
  }

  @Test
  void lateLineStaysOnItsDay() {
    axis.beginLog();
    axis.place(MINUTE_MS);
    assertThat(axis.place(MINUTE_MS - 2)).isEqualTo(MINUTE_MS - 2);
  }
}
