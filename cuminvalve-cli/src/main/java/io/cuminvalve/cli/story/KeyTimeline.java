package io.cuminvalve.cli.story;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Follows the owner of one key through the lines of all gateways, in the order of their times. */
final class KeyTimeline {

  private static final Set<String> ABOUT_TARGETS = Set.of("target_removed", "target_replaced");

  private static final Set<String> ABOUT_HOLDERS = Set.of("keys_partitioned", "keys_taken_over");

  private static final Set<String> WITHOUT_OWNER =
      Set.of("key_on_the_move", "owner_unknown", "owner_leaving", "ConnectException");

  private final int key;
  private final String service;
  private final List<Ownership> owners = new ArrayList<>();
  private final List<Gap> gaps = new ArrayList<>();

  /** What was heard last of targets that are gone. */
  private final Map<String, LogLine> gone = new HashMap<>();

  /** From here on an owner is assumed that is named for the first time. */
  private LogLine first;

  /** Who gained the term last: what others decide after it counts for nothing. */
  private String holder = "";

  private String owner = LogLine.NONE;
  private LogLine ownerLine;
  private String ownerEvidence = "";
  private OpenGap gap;

  KeyTimeline(int key, String service) {
    this.key = key;
    this.service = service;
  }

  /** Takes the next line. */
  void take(LogLine line) {
    if (first == null) {
      first = line;
    }
    if (line.event().equals("term_gained")) {
      holder = line.process();
    }
    if (ABOUT_TARGETS.contains(line.event())) {
      gone.put(line.value("target"), line);
    } else if (!line.has("service", service)) {
      return;
    } else if (line.key().isPresent()) {
      takeRequest(line, line.key().getAsInt());
    } else if (ABOUT_HOLDERS.contains(line.event())) {
      onHolder(line);
    } else if (line.covers(key)) {
      takeOrder(line);
    } else if (gap != null && line.event().equals("keys_moved") && gap.isEndedByMove(line)) {
      endGap(line, gap.to(), "keys that came along are moved on");
    }
  }

  private void takeOrder(LogLine line) {
    switch (line.event()) {
      case "keys_moved", "keys_evacuated" -> onMoved(line);
      case "release_ended" -> onReleased(line);
      case "keys_granted" -> onGranted(line);
      case "grant_failed" -> onGrantFailed(line);
      default -> {
        // No other order changes the owner.
      }
    }
  }

  /** Only keys whose owner has its lease are moved; evacuated are others too. */
  private void onMoved(LogLine line) {
    String loser = gap == null ? owner : gap.to();
    if (line.event().equals("keys_moved")) {
      loser = line.value("from");
      if (gap != null) {
        endGap(line, loser, "keys_moved names it");
      } else if (!loser.equals(owner)) {
        changeOwner(ownerLine == null ? first : line, loser, "keys_moved names it");
      }
    }
    String to = line.value("to");
    if (gap == null) {
      endOwner(line);
      gap = new OpenGap(line, loser, to);
    } else {
      gap.redirect(line, to);
    }
    gap.because(line, line.event() + " to " + to + causeOfMove(line, loser));
  }

  private String causeOfMove(LogLine line, String loser) {
    if (line.values().containsKey("load")) {
      return ", load " + line.shortNumber("load");
    }
    LogLine news = gone.get(loser);
    return news == null ? "" : ", after " + news.event() + " " + loser + " at " + news.time();
  }

  private void onHolder(LogLine line) {
    if (line.event().equals("keys_partitioned")) {
      first = line;
    } else if (gap != null) {
      gap.onTakenOver(line);
    }
  }

  private void onReleased(LogLine line) {
    if (gap != null) {
      gap.onOrderEnded(
          line, line.value("target") + " gives them back: " + outcomeOf(line) + after(line));
    }
  }

  private void onGranted(LogLine line) {
    String to = line.value("target");
    if (gap != null && to.equals(gap.to())) {
      endGap(line, to, line.event());
    } else if (gap == null && !to.equals(owner)) {
      changeOwner(line, to, line.event());
    }
  }

  /** The owner's lease runs on meanwhile, but whoever cannot be reached serves nobody. */
  private void onGrantFailed(LogLine line) {
    String to = line.value("target");
    boolean fromHolder = holder.isEmpty() || holder.equals(line.process());
    if (gap == null && ownerLine == null) {
      startOwner(first, to, "grant_failed names it");
    }
    if (gap == null && fromHolder && to.equals(owner)) {
      endOwner(line);
      gap = new OpenGap(line, to, to);
    }
    if (gap != null && to.equals(gap.to())) {
      gap.onOrderEnded(line, "no lease for " + to + ": " + outcomeOf(line));
    }
  }

  private static String after(LogLine order) {
    return " after " + order.value("took_ms") + " ms";
  }

  private static String outcomeOf(LogLine line) {
    String outcome = line.value("outcome");
    return outcome + Reasons.ofOutcome(outcome);
  }

  private void takeRequest(LogLine line, int requestKey) {
    boolean answered =
        line.event().equals("request_served") || line.event().equals("request_failed_at_target");
    if (answered) {
      onAnswered(line, requestKey == key);
    } else if (line.event().equals("request_given_up")
        && WITHOUT_OWNER.contains(line.value("why"))) {
      onRefused(line, requestKey);
    } else if (requestKey == key && gap == null && ownerLine == null) {
      onSent(line);
    }
  }

  private void onAnswered(LogLine line, boolean sameKey) {
    String target = line.value("target");
    if (gap != null) {
      if (gap.isEndedBy(line)) {
        endGap(line, target, "first answer of " + target + " for these keys");
      }
      return;
    }
    boolean sentSince = ownerLine == null || line.arrivedMs() >= ownerLine.atMs();
    if (sameKey && sentSince && !target.equals(owner)) {
      String unseen = ownerLine == null ? "" : "; no line shows the move";
      changeOwner(line, target, "answered a request" + unseen);
    }
  }

  /** No answer, but better than no owner at all. */
  private void onSent(LogLine line) {
    if (!line.value("target").equals(LogLine.NONE)) {
      startOwner(line, line.value("target"), "a request was sent there");
    }
  }

  private void onRefused(LogLine line, int requestKey) {
    boolean same = requestKey == key;
    if (gap != null) {
      gap.onRefused(requestKey, same);
    } else if (same) {
      gaps.add(seenBy(line));
    }
  }

  /** No decision of the holder explains it: one gateway saw it so. */
  private Gap seenBy(LogLine line) {
    String reason = line.process() + " knew owners=" + line.value("owners") + ": ";
    return new Gap(
        new Span(
            DayAxis.timeAt(line.arrivedMs()), line.time(), line.arrivedMs(), line.number("age_ms")),
        owner,
        owner,
        List.of(line.time() + " " + reason + Reasons.of(line.value("why"))),
        "seen by one gateway, no line of the holder shows it",
        1,
        1);
  }

  private void endGap(LogLine line, String to, String evidence) {
    gaps.add(gap.endedBy(line, evidence));
    gap = null;
    startOwner(line, to, evidence);
  }

  private void changeOwner(LogLine line, String to, String evidence) {
    endOwner(line);
    startOwner(line, to, evidence);
  }

  private void startOwner(LogLine line, String target, String evidence) {
    owner = target;
    ownerLine = line;
    ownerEvidence = evidence;
  }

  private void endOwner(LogLine line) {
    if (ownerLine != null) {
      owners.add(new Ownership(owner, Span.between(ownerLine, line), ownerEvidence));
    }
    owner = LogLine.NONE;
    ownerLine = null;
  }

  /** Returns who owned the key, in order, so far. */
  List<Ownership> owners() {
    List<Ownership> all = new ArrayList<>(owners);
    if (ownerLine != null) {
      all.add(new Ownership(owner, Span.from(ownerLine), ownerEvidence));
    }
    return all;
  }

  /** Returns when nobody owned it, in order, so far. */
  List<Gap> gaps() {
    List<Gap> all = new ArrayList<>(gaps);
    if (gap != null) {
      all.add(gap.unended());
    }
    return all;
  }
}
