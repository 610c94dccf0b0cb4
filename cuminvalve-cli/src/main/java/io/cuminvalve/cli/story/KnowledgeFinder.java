package io.cuminvalve.cli.story;

import java.util.ArrayList;
import java.util.List;

/** Finds what was known when a request was decided on. */
final class KnowledgeFinder {

  private final VersionHistory configs = new VersionHistory();
  private final VersionHistory owners = new VersionHistory();
  private final List<Knowledge> found = new ArrayList<>();

  private KnowledgeFinder() {}

  /** Returns what was known at some of the lines, which are in the order of their times. */
  static List<Knowledge> at(List<LogLine> steps, List<LogLine> lines) {
    KnowledgeFinder finder = new KnowledgeFinder();
    int next = 0;
    for (LogLine line : lines) {
      if (next == steps.size()) {
        break;
      }
      finder.learn(line);
      if (line == steps.get(next)) {
        next++;
        finder.note(line);
      }
    }
    return List.copyOf(finder.found);
  }

  private void learn(LogLine line) {
    if (line.event().equals("configuration_in_force")) {
      configs.onNamed(line.value("version"), line.atMs());
    }
    configs.onNamed(line.value("config"), line.atMs());
    owners.onNamed(line.value("owners"), line.atMs());
  }

  private void note(LogLine line) {
    if (!line.values().containsKey("config")) {
      return;
    }
    found.add(
        new Knowledge(
            line.process(),
            line.time(),
            line.event(),
            line.value("config"),
            configs.newest(),
            configs.behindMs(line.value("config"), line.atMs()),
            line.value("owners"),
            owners.newest(),
            owners.behindMs(line.value("owners"), line.atMs()),
            line.number("targets_age_ms")));
  }
}
