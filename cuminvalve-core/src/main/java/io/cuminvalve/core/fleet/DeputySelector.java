package io.cuminvalve.core.fleet;

import io.cuminvalve.core.id.DataCentreId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;

/**
 * Chooses the gateways that follow the store beside the holder of the term.
 *
 * <p>Every other gateway learns from them and from the holder, so that what a fleet asks of the
 * store does not grow with its width. They are the strongest of each data centre in turn: a weak
 * host has enough to do with its callers, and a data centre that is cut off keeps one of its own.
 *
 * @since 0.2
 */
public final class DeputySelector {

  /**
   * How many deputies a fleet has. The probability that all of them are among gateways lost at
   * random is below 1% when half of a wide fleet is lost at once; in a narrow one all gateways are.
   */
  public static final int DEPUTIES = 8;

  private static final Comparator<Candidate> STRONGEST_FIRST =
      Comparator.comparingDouble(Candidate::processorCores)
          .reversed()
          .thenComparing(Candidate::address);

  /**
   * A gateway that may be chosen.
   *
   * @param address its peer address; not null
   * @param dataCentre where it runs; not null
   * @param processorCores how many cores it may use
   */
  public record Candidate(String address, DataCentreId dataCentre, double processorCores) {}

  private DeputySelector() {}

  /**
   * Chooses deputies. The same candidates give the same choice, in whatever order.
   *
   * @param candidates all gateways but the holder; not null
   * @return their addresses, {@link #DEPUTIES} at most; never null
   */
  public static List<String> choose(Collection<Candidate> candidates) {
    TreeMap<String, List<Candidate>> byDataCentre = new TreeMap<>();
    for (Candidate candidate : candidates) {
      byDataCentre
          .computeIfAbsent(candidate.dataCentre().value(), any -> new ArrayList<>())
          .add(candidate);
    }
    byDataCentre.values().forEach(members -> members.sort(STRONGEST_FIRST));
    List<String> chosen = new ArrayList<>();
    int wanted = Math.min(DEPUTIES, candidates.size());
    for (int rank = 0; chosen.size() < wanted; rank++) {
      for (List<Candidate> members : byDataCentre.values()) {
        if (rank < members.size() && chosen.size() < wanted) {
          chosen.add(members.get(rank).address());
        }
      }
    }
    return chosen;
  }
}
