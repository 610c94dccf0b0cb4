package io.cuminvalve.cli.story;

import java.util.List;

/**
 * A time in which requests for a key had no owner to go to, or none that could be reached.
 *
 * @param time from the decision that began it to the line that shows its end; not null
 * @param from the owner before; a dash if no line names it; not null
 * @param to the owner after; a dash if no line names it; not null
 * @param reasons what was decided meanwhile, in order; not null, not empty
 * @param end what shows that it was over; a dash if nothing does; not null
 * @param refusedOfKey how many requests for the key were given up for want of an owner
 * @param refusedOfRange how many for all keys that moved with it
 * @since 0.2
 */
public record Gap(
    Span time,
    String from,
    String to,
    List<String> reasons,
    String end,
    int refusedOfKey,
    int refusedOfRange) {

  /** Copies the list. */
  public Gap {
    reasons = List.copyOf(reasons);
  }
}
