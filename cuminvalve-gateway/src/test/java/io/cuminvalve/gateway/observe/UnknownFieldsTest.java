package io.cuminvalve.gateway.observe;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class UnknownFieldsTest {

  private final List<String> lines = new ArrayList<>();
  private final UnknownFields fields =
      new UnknownFields(new DecisionLog(() -> 0, 1_000, lines::add));

  @Test
  void eachNameIsCountedAndLoggedOnce() {
    fields.onAnswer(List.of("Server-Mood", "Server-Colour"), "core-0");
    fields.onAnswer(List.of("server-mood"), "core-1");
    assertThat(fields.counts().get("server-mood").sum()).isEqualTo(2);
    assertThat(fields.counts().get("server-colour").sum()).isEqualTo(1);
    assertThat(lines)
        .containsExactly(
            "event=answer_field_unknown field=server-mood target=core-0",
            "event=answer_field_unknown field=server-colour target=core-0");
  }

  @Test
  void namesBeyondTheMaximumAreCountedTogether() {
    for (int i = 0; i < UnknownFields.MAX_NAMES + 10; i++) {
      fields.onAnswer(List.of("field-" + i), "core-0");
    }
    assertThat(fields.counts()).hasSize(UnknownFields.MAX_NAMES + 1);
    assertThat(fields.counts().get(UnknownFields.OTHERS).sum()).isEqualTo(10);
  }
}
