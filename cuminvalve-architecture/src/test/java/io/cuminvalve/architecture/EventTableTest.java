package io.cuminvalve.architecture;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Compares the table of events in docs/OPERATIONS.md with the code. */
class EventTableTest {

  private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

  private static final List<String> SOURCES =
      List.of("cuminvalve-gateway/src/main/java", "platform/src/main/java");

  /** A name that is written at once, one of two names, or part of a whole line. */
  private static final Pattern WRITTEN =
      Pattern.compile(
          "(?:(?:\\.write|\\blog|\\blogOrder|\\blogRefusal)\\(\\s*|String event = )"
              + "(?:\\w+ \\? \"([a-z_]+)\" : )?\"([a-z_]+)\""
              + "|\"event=([a-z_]+)");

  private static final Pattern NAME = Pattern.compile("`([a-z_]+)`");

  @Test
  void theTableNamesTheEventsThatAreWritten() throws IOException {
    Set<String> written = new TreeSet<>();
    for (String folder : SOURCES) {
      written.addAll(writtenIn(ROOT.resolve(folder)));
    }
    assertThat(written).containsAtLeast("started", "store_lost", "keys_moved", "grant_failed");
    assertThat(tableOfEvents()).containsExactlyElementsIn(written);
  }

  private static Set<String> writtenIn(Path sources) throws IOException {
    Set<String> found = new TreeSet<>();
    try (Stream<Path> files = Files.walk(sources)) {
      for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
        Matcher matcher = WRITTEN.matcher(Files.readString(file));
        while (matcher.find()) {
          for (int group = 1; group <= matcher.groupCount(); group++) {
            if (matcher.group(group) != null) {
              found.add(matcher.group(group));
            }
          }
        }
      }
    }
    return found;
  }

  private static Set<String> tableOfEvents() throws IOException {
    List<String> lines = Files.readAllLines(ROOT.resolve("docs/OPERATIONS.md"));
    int head = lines.indexOf("| Event | Says |");
    return lines.subList(head + 2, lines.size()).stream()
        .takeWhile(line -> line.startsWith("|"))
        .map(line -> line.substring(1, line.indexOf('|', 1)))
        .flatMap(cell -> NAME.matcher(cell).results().map(name -> name.group(1)))
        .collect(Collectors.toCollection(TreeSet::new));
  }
}
