package io.cuminvalve.cli.story;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Who owned a key when, when nobody did and why, and what its requests met.
 *
 * @param key the key
 * @param service the service; not null
 * @param owners its owners, in order; not null
 * @param gaps when it had none, in order; not null
 * @param decisions what was decided on its owner and on the holder, in order; not null
 * @param refusals how many requests for it were given up, by second and reason; not null
 * @since 0.2
 */
public record KeyStory(
    int key,
    String service,
    List<Ownership> owners,
    List<Gap> gaps,
    List<LogLine> decisions,
    Map<String, Map<String, Integer>> refusals) {

  private static final Set<String> ABOUT_HOLDERS =
      Set.of("term_gained", "term_lost", "owners_read", "foreign_leases_known");

  /** Copies the lists. */
  public KeyStory {
    owners = List.copyOf(owners);
    gaps = List.copyOf(gaps);
    decisions = List.copyOf(decisions);
  }

  /**
   * Finds the story of a key.
   *
   * @param key the key
   * @param service its service; not null
   * @param lines all decisions, in the order of their times; not null
   * @return never null
   */
  public static KeyStory of(int key, String service, List<LogLine> lines) {
    KeyTimeline timeline = new KeyTimeline(key, service);
    List<LogLine> decisions = new ArrayList<>();
    Map<String, Map<String, Integer>> refusals = new TreeMap<>();
    for (LogLine line : lines) {
      timeline.take(line);
      if (isDecision(line, key, service)) {
        decisions.add(line);
      }
      if (line.event().equals("request_given_up") && isAbout(line, key, service)) {
        refusals
            .computeIfAbsent(line.time().substring(0, "00:00:00".length()), s -> new TreeMap<>())
            .merge(line.value("why"), 1, Integer::sum);
      }
    }
    return new KeyStory(key, service, timeline.owners(), timeline.gaps(), decisions, refusals);
  }

  private static boolean isDecision(LogLine line, int key, String service) {
    boolean ofService = line.has("service", service);
    boolean whole =
        line.event().equals("keys_partitioned") || line.event().equals("keys_taken_over");
    return ABOUT_HOLDERS.contains(line.event()) || (ofService && (whole || line.covers(key)));
  }

  private static boolean isAbout(LogLine line, int key, String service) {
    return line.has("service", service) && line.has("key", Integer.toString(key));
  }

  /**
   * Finds the only service that has a key.
   *
   * @param key the key
   * @param lines all decisions; not null
   * @return never null
   * @throws CodedException with code INVALID_INPUT if no line or lines of several services name it
   */
  public static String serviceOf(int key, List<LogLine> lines) {
    Set<String> services = new TreeSet<>();
    for (LogLine line : lines) {
      if (line.covers(key) || line.has("key", Integer.toString(key))) {
        services.add(line.value("service"));
      }
    }
    if (services.size() != 1) {
      String found = services.isEmpty() ? "no service" : "several services: " + services;
      throw new CodedException(
          ErrorCode.INVALID_INPUT, "key " + key + " is named in lines of " + found);
    }
    return services.iterator().next();
  }
}
