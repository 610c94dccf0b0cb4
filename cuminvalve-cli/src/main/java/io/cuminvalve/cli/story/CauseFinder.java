package io.cuminvalve.cli.story;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Finds what explains the end of a request that was not served. */
final class CauseFinder {

  private static final long NEAR_MS = 1_000;

  private final List<LogLine> lines;
  private final LogLine end;
  private final boolean served;

  /** Creates a finder; the steps are not empty and in order, as are all lines. */
  CauseFinder(List<LogLine> steps, List<LogLine> lines) {
    this.lines = lines;
    this.end =
        steps.stream()
            .filter(RequestStory::isEnd)
            .reduce((before, after) -> after)
            .orElse(steps.get(steps.size() - 1));
    this.served = end.event().equals("request_served");
  }

  List<String> causes() {
    List<String> causes = new ArrayList<>();
    if (served) {
      return causes;
    }
    causes.addAll(new QuarantineFinder(end).causes(lines));
    causes.addAll(new LimitFinder(end).causes(lines));
    causes.addAll(new AbsenceFinder(end).causes(lines));
    OptionalInt key = end.key();
    if (key.isPresent()) {
      addOwner(KeyStory.of(key.getAsInt(), end.value("service"), lines), causes);
      addNear("key", "key " + key.getAsInt(), causes);
    }
    if (!end.value("target").equals(LogLine.NONE)) {
      addNear("target", "target " + end.value("target"), causes);
    }
    return causes;
  }

  /** Says who owned its key while the request was there. */
  private void addOwner(KeyStory story, List<String> causes) {
    String subject = "key " + story.key();
    for (Ownership owner : story.owners()) {
      if (owner.time().meets(end)) {
        String evidence = " (" + owner.evidence() + ")";
        causes.add(
            subject + " was owned by " + owner.target() + " " + owner.time().text() + evidence);
      }
    }
    for (Gap gap : story.gaps()) {
      if (gap.time().meets(end)) {
        causes.add(subject + " had no owner that could be reached " + gap.time().text());
        gap.reasons().forEach(reason -> causes.add("  " + reason));
      }
    }
  }

  /** Says what others met, of those that ended near to it with the same value of a name. */
  private void addNear(String name, String subject, List<String> causes) {
    Map<String, Integer> counts = new TreeMap<>();
    for (LogLine line : lines) {
      boolean near = Math.abs(line.atMs() - end.atMs()) <= NEAR_MS;
      boolean sameService = line.has("service", end.value("service"));
      if (near && sameService && line.has(name, end.value(name)) && RequestStory.isEnd(line)) {
        counts.merge(line.event() + " " + line.value("why"), 1, Integer::sum);
      }
    }
    String text =
        counts.entrySet().stream()
            .map(entry -> entry.getValue() + " " + entry.getKey())
            .collect(Collectors.joining(", "));
    causes.add("requests of " + subject + " that ended within " + NEAR_MS + " ms: " + text);
  }
}
