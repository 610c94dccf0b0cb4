package io.cuminvalve.cli.story;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LogFilesTest {

  @TempDir private Path folder;

  @Test
  void linesOfSeveralLogsComeInTheOrderOfTheirTimes() throws IOException {
    Path first = folder.resolve("g1.log");
    Files.writeString(
        first, "10:00:01.000 INFO event=a x=1\nnoise\n10:00:03.000 INFO event=c x=1\n");
    InputStream second = StoryLines.stream("g2 10:00:02.000 INFO event=b x=1\n");

    List<LogLine> lines = LogFiles.read(List.of(first.toString(), "-"), second);

    assertThat(lines.stream().map(LogLine::event).toList())
        .containsExactly("a", "b", "c")
        .inOrder();
    assertThat(lines.stream().map(LogLine::process).toList())
        .containsExactly("g1", "g2", "g1")
        .inOrder();
  }

  @Test
  void linesOfTheSameTimeStayInTheirOrder() {
    List<LogLine> lines =
        StoryLines.read("10:00:01.000 INFO event=b x=1\n10:00:01.000 INFO event=a x=1\n");
    assertThat(lines.stream().map(LogLine::event).toList()).containsExactly("b", "a").inOrder();
  }

  @Test
  void missingLogIsNamed() {
    List<String> files = List.of(folder.resolve("none.log").toString());
    CodedException failure =
        assertThrows(
            CodedException.class, () -> LogFiles.read(files, InputStream.nullInputStream()));
    assertThat(failure.code()).isEqualTo(ErrorCode.INVALID_INPUT);
    assertThat(failure).hasMessageThat().contains("none.log");
  }
}
