package io.cuminvalve.core.fleet;

import io.cuminvalve.core.id.DataCentreId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;

/**
 * Selects the deputies: the gateways that, besides the term holder, read from the store directly.
 *
 * <p>All other gateways receive updates from the deputies and the term holder, so the load on the
 * store does not grow with the number of gateways. Deputies are taken from each data centre in
 * turn, those with the most processor cores first: weak hosts are busy with their callers, and a
 * data centre that is partitioned from the others keeps a deputy of its own.
 *
 * @since 0.2
 */
public final class DeputySelector {

  /**
   * The maximum number of deputies. When half of a large fleet is lost at random, the probability
   * that all deputies are among the lost gateways is below 1%. In a small fleet all gateways are
   * deputies.
   */
  public static final int DEPUTIES = 8;

  private static final Comparator<Candidate> STRONGEST_FIRST =
      Comparator.comparingDouble(Candidate::processorCores)
          .reversed()
          .thenComparing(Candidate::address);

  /**
   * A gateway that may become a deputy.
   *
   * @param address its peer address; not null
   * @param dataCentre the data centre in which it runs; not null
   * @param processorCores the number of cores that it may use
   */
  public record Candidate(String address, DataCentreId dataCentre, double processorCores) {}

  private DeputySelector() {}

  /**
   * Selects the deputies. The result does not depend on the order of the candidates.
   *
   * @param candidates all gateways except the term holder; not null
   * @return the addresses of at most {@link #DEPUTIES} deputies; never null
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
