package io.cuminvalve.architecture;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that the names of the users' platform stand in its adapter only. */
class PlatformWordsTest {

  private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

  private static final List<String> WORDS =
      List.of(
          "X-Attempt-Id",
          "X-Deadline-Ms",
          "X-Target-Instance",
          "X-Shard-Key",
          "X-Not-Executed",
          "X-Response-Signature",
          "X-Handover",
          "Server-Limit",
          "Server-Leaving",
          "/v1/kv-",
          "\"op/",
          "evacuate/\"",
          "\"servers/",
          "hold_time",
          "traffic_split",
          "resource_kind",
          "CUMINVALVE_BOOT");

  @Test
  void theAdapterUsesThem() throws IOException {
    assertThat(wordsIn(ROOT.resolve("platform/src/main/java"))).hasSize(WORDS.size());
  }

  @Test
  void nothingElseKnowsThem() throws IOException {
    try (Stream<Path> modules = Files.list(ROOT)) {
      for (Path module : modules.toList()) {
        Path sources = module.resolve("src/main/java");
        if (Files.isDirectory(sources) && !module.endsWith("platform")) {
          assertThat(wordsIn(sources)).isEmpty();
        }
      }
    }
  }

  private static List<String> wordsIn(Path sources) throws IOException {
    List<String> found = new ArrayList<>();
    try (Stream<Path> files = Files.walk(sources)) {
      for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
        String text = Files.readString(file);
        WORDS.stream()
            .filter(word -> text.contains(word) && !found.contains(word))
            .forEach(found::add);
      }
    }
    return found;
  }
}
