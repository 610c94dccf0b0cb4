package io.cuminvalve.cli.story;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;

/** Finds what was decided around a request on what it depended on. */
final class ContextFinder {

  private static final int MOST_BEFORE = 12;
  private static final int MOST_AFTER = 6;
  private static final long AFTER_MS = 3_000;

  private static final Set<String> ABOUT_HOLDERS =
      Set.of("term_gained", "term_lost", "keys_taken_over", "foreign_leases_known");

  private static final Set<String> ABOUT_PROCESS =
      Set.of("holder_silent", "holder_known", "store_lost", "store_regained");

  private final LogLine first;
  private final LogLine last;
  private final OptionalInt key;
  private final String service;
  private final Set<String> targets;
  private final Set<String> processes;

  /** Creates a finder for a request; what it was decided on is not empty and in order. */
  ContextFinder(List<LogLine> steps) {
    this.first = steps.get(0);
    this.last = steps.get(steps.size() - 1);
    this.key = first.key();
    this.service = first.value("service");
    this.targets = steps.stream().map(step -> step.value("target")).collect(Collectors.toSet());
    this.processes = steps.stream().map(LogLine::process).collect(Collectors.toSet());
  }

  List<LogLine> find(List<LogLine> lines) {
    List<LogLine> before = new ArrayList<>();
    List<LogLine> after = new ArrayList<>();
    LogLine configuration = null;
    for (LogLine line : lines) {
      boolean early = line.atMs() <= last.atMs();
      if (early && takesConfiguration(line)) {
        configuration = line;
      } else if (isContext(line) && line.atMs() <= last.atMs() + AFTER_MS) {
        (early ? before : after).add(line);
      }
    }
    List<LogLine> found = new ArrayList<>();
    if (configuration != null) {
      found.add(configuration);
    }
    found.addAll(before.subList(Math.max(0, before.size() - MOST_BEFORE), before.size()));
    found.addAll(after.subList(0, Math.min(MOST_AFTER, after.size())));
    return LogFiles.inOrder(found);
  }

  private boolean takesConfiguration(LogLine line) {
    return line.event().equals("configuration_in_force") && line.process().equals(first.process());
  }

  private boolean isContext(LogLine line) {
    if (line.values().containsKey("id")) {
      return false;
    }
    if (line.values().containsKey("keys")) {
      return key.isPresent() && line.has("service", service) && line.covers(key.getAsInt());
    }
    return targets.contains(line.values().getOrDefault("target", ""))
        || (ABOUT_PROCESS.contains(line.event()) && processes.contains(line.process()))
        || (key.isPresent() && ABOUT_HOLDERS.contains(line.event()));
  }
}
