package io.cuminvalve.cli.command;

import io.cuminvalve.cli.console.TextTable;
import io.cuminvalve.cli.story.Gap;
import io.cuminvalve.cli.story.KeyStory;
import io.cuminvalve.cli.story.Knowledge;
import io.cuminvalve.cli.story.LogLine;
import io.cuminvalve.cli.story.Ownership;
import io.cuminvalve.cli.story.RequestStory;
import io.cuminvalve.cli.story.Span;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Lays stories out for people.
 *
 * @since 0.2
 */
final class StoryText {

  /** What the heading or the table of what was known says already. */
  private static final Set<String> SAID_ELSEWHERE =
      Set.of("id", "route", "service", "key", "config", "owners", "targets_age_ms", "handover");

  /** Marks what was decided on the request itself. */
  private static final String OWN = ">";

  private StoryText() {}

  /**
   * One part of a story.
   *
   * @param heading its heading; not null
   * @param text what stands below it; not null
   */
  record Part(String heading, String text) {}

  static List<Part> of(RequestStory story) {
    List<Part> parts = new ArrayList<>();
    parts.add(new Part("Request " + story.id(), String.join("\n", story.outcomes())));
    if (!story.causes().isEmpty()) {
      parts.add(new Part("Why", String.join("\n", story.causes())));
    }
    parts.add(
        new Part(
            "Story (> decided on it; the others on its key, its targets, its gateway)",
            lines(story.inOrder(), Set.copyOf(story.steps()))));
    if (!story.knowledge().isEmpty()) {
      parts.add(new Part("What the gateway knew", knowledge(story.knowledge())));
    }
    return parts;
  }

  static List<Part> of(KeyStory story) {
    List<Part> parts = new ArrayList<>();
    String key = "key " + story.key() + " of " + story.service();
    parts.add(new Part("Owners of " + key, owners(story.owners())));
    for (Gap gap : story.gaps()) {
      parts.add(new Part("Gap " + gap.time().text() + length(gap.time()), gap(gap)));
    }
    if (!story.refusals().isEmpty()) {
      parts.add(new Part("Requests for it that were given up", refusals(story)));
    }
    parts.add(new Part("Decisions", lines(story.decisions(), Set.of())));
    return parts;
  }

  private static String length(Span time) {
    return time.lengthMs() < 0 ? ", no end in these logs" : ", " + time.lengthMs() + " ms at most";
  }

  private static String owners(List<Ownership> owners) {
    TextTable table = new TextTable("SINCE", "UNTIL", "OWNER", "EVIDENCE");
    for (Ownership owner : owners) {
      table.row(owner.time().since(), owner.time().until(), owner.target(), owner.evidence());
    }
    return table.toText();
  }

  private static String gap(Gap gap) {
    List<String> lines = new ArrayList<>();
    lines.add("from " + gap.from() + " to " + gap.to());
    lines.addAll(gap.reasons());
    lines.add("end: " + gap.end());
    lines.add(
        "given up meanwhile: "
            + gap.refusedOfKey()
            + " for the key, "
            + gap.refusedOfRange()
            + " for all keys of the range");
    return String.join("\n", lines);
  }

  private static String refusals(KeyStory story) {
    TextTable table = new TextTable("SECOND", "REASONS");
    story
        .refusals()
        .forEach(
            (second, reasons) ->
                table.row(
                    second,
                    reasons.entrySet().stream()
                        .map(entry -> entry.getValue() + " " + entry.getKey())
                        .collect(Collectors.joining(", "))));
    return table.toText();
  }

  private static String lines(List<LogLine> lines, Set<LogLine> own) {
    TextTable table = new TextTable(" ", "SECOND", "TIME", "GATEWAY", "EVENT", "DETAIL");
    for (LogLine line : lines) {
      table.row(
          own.contains(line) ? OWN : " ",
          line.second(),
          line.time(),
          line.process(),
          line.event(),
          detail(line));
    }
    return table.toText();
  }

  private static String detail(LogLine line) {
    Map<String, String> values = new LinkedHashMap<>(line.values());
    SAID_ELSEWHERE.forEach(values::remove);
    return values.entrySet().stream()
        .map(entry -> entry.getKey() + "=" + entry.getValue())
        .collect(Collectors.joining(" "));
  }

  private static String knowledge(List<Knowledge> steps) {
    TextTable table =
        new TextTable("TIME", "GATEWAY", "EVENT", "CONFIGURATION", "OWNERS", "TARGETS");
    for (Knowledge known : steps) {
      table.row(
          known.time(),
          known.process(),
          known.event(),
          version(known.config(), known.newestConfig(), known.configBehindMs()),
          version(known.owners(), known.newestOwners(), known.ownersBehindMs()),
          "confirmed " + known.targetsAgeMs() + " ms ago");
    }
    return table.toText();
  }

  private static String version(String own, String newest, long behindMs) {
    return own.equals(newest)
        ? own
        : own + ", " + newest + " elsewhere; behind for " + behindMs + " ms";
  }
}
