package io.cuminvalve.cli.story;

import java.util.ArrayList;
import java.util.List;

/** A gap whose end has not been read yet. */
final class OpenGap {

  private final LogLine first;
  private final String from;
  private final List<String> reasons = new ArrayList<>();
  private String to;
  private LogLine order;
  private LogLine takenOver;
  private boolean answered;
  private String lastReason = "";
  private int refusedOfKey;
  private int refusedOfRange;

  /** Begins with the line of a decision that names a range of keys. */
  OpenGap(LogLine order, String from, String to) {
    this.first = order;
    this.from = from;
    this.to = to;
    this.order = order;
  }

  String to() {
    return to;
  }

  /** The keys go to another target than was meant. */
  void redirect(LogLine newOrder, String newTo) {
    order = newOrder;
    to = newTo;
    takenOver = null;
    answered = false;
  }

  /** A target answered an order, or the attempt to reach it ended. */
  void onOrderEnded(LogLine line, String reason) {
    answered = true;
    because(line, reason);
  }

  /** Another holder took the keys over as they were stored, maybe without the last order. */
  void onTakenOver(LogLine line) {
    takenOver = line;
    String unanswered = answered ? "" : ": no target had answered an order of the move";
    because(line, "keys_taken_over by " + line.process() + unanswered);
  }

  /** Adds a reason, once if it is repeated. */
  void because(LogLine line, String reason) {
    if (!reason.equals(lastReason)) {
      reasons.add(line.time() + " " + reason);
      lastReason = reason;
    }
  }

  void onRefused(int key, boolean same) {
    if (same) {
      refusedOfKey++;
    }
    if (order.covers(key)) {
      refusedOfRange++;
    }
  }

  /** Tells whether an answer shows that the keys have arrived. */
  boolean isEndedBy(LogLine answer) {
    boolean sentSince = answer.arrivedMs() >= first.atMs() || !to.equals(from);
    boolean fromOwner = answer.has("target", to) && sentSince;
    boolean fromStored = takenOver != null && answer.arrivedMs() >= takenOver.atMs();
    return (fromOwner || fromStored) && order.covers(answer.key().orElse(-1));
  }

  /** Only keys whose owner has its lease are moved: others that came along have arrived, too. */
  boolean isEndedByMove(LogLine move) {
    return move.has("from", to) && order.overlaps(move);
  }

  Gap endedBy(LogLine line, String evidence) {
    return gap(Span.between(first, line), evidence);
  }

  Gap unended() {
    return gap(Span.from(first), LogLine.NONE);
  }

  private Gap gap(Span time, String end) {
    return new Gap(time, from, to, reasons, end, refusedOfKey, refusedOfRange);
  }
}
