package io.cuminvalve.core.placement.internal;

import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.placement.PlacementTarget;
import io.cuminvalve.core.placement.TargetState;
import io.cuminvalve.core.table.ShardTable;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Assigns numbers to the targets of a plan.
 *
 * <p>A target in the table keeps its number. A new target takes the number of a removed target to
 * which no shard refers, or the next free number.
 *
 * @since 0.1
 */
public final class TargetIndex {

  /** Marks the data centre of a target that is only in the table. */
  private static final int UNKNOWN_DATA_CENTRE = -1;

  private final List<TargetId> ids;
  private final TargetState[] states;
  private final double[] weights;
  private final int[] dataCentres;
  private final int[] usable;
  private final double[] dataCentreWeights;
  private final double totalWeight;

  TargetIndex(ShardTable table, List<PlacementTarget> targets) {
    ids = new ArrayList<>(table.targets());
    final Map<TargetId, Integer> numbers = numberTargets(table, targets);
    int size = ids.size();
    states = new TargetState[size];
    Arrays.fill(states, TargetState.DRAINING);
    weights = new double[size];
    dataCentres = new int[size];
    Arrays.fill(dataCentres, UNKNOWN_DATA_CENTRE);
    Map<DataCentreId, Integer> dataCentreNumbers = new HashMap<>();
    for (PlacementTarget target : targets) {
      int number = numbers.get(target.id());
      states[number] = target.state();
      weights[number] = target.weight();
      dataCentres[number] =
          dataCentreNumbers.computeIfAbsent(target.dataCentre(), id -> dataCentreNumbers.size());
    }
    usable = usableNumbers();
    dataCentreWeights = new double[dataCentreNumbers.size()];
    for (int number : usable) {
      dataCentreWeights[dataCentres[number]] += weights[number];
    }
    totalWeight = Arrays.stream(weights).sum();
  }

  private Map<TargetId, Integer> numberTargets(ShardTable table, List<PlacementTarget> targets) {
    Map<TargetId, Integer> numbers = new HashMap<>(ids.size() * 2);
    for (int number = 0; number < ids.size(); number++) {
      numbers.put(ids.get(number), number);
    }
    List<TargetId> added =
        targets.stream().map(PlacementTarget::id).filter(id -> !numbers.containsKey(id)).toList();
    if (added.isEmpty()) {
      return numbers;
    }
    int[] free = unreferenced(table, targets, numbers);
    int reused = 0;
    for (TargetId id : added) {
      if (reused < free.length) {
        ids.set(free[reused], id);
        numbers.put(id, free[reused]);
        reused++;
      } else {
        numbers.put(id, ids.size());
        ids.add(id);
      }
    }
    return numbers;
  }

  private static int[] unreferenced(
      ShardTable table, List<PlacementTarget> targets, Map<TargetId, Integer> numbers) {
    boolean[] referenced = new boolean[table.targets().size()];
    for (PlacementTarget target : targets) {
      mark(referenced, numbers.getOrDefault(target.id(), ShardTable.NO_TARGET));
    }
    for (int shard = 0; shard < table.shardCount(); shard++) {
      mark(referenced, table.owner(shard));
      mark(referenced, table.standby(shard));
      mark(referenced, table.previousOwner(shard));
    }
    int[] free = new int[referenced.length];
    int count = 0;
    for (int number = 0; number < referenced.length; number++) {
      if (!referenced[number]) {
        free[count++] = number;
      }
    }
    return Arrays.copyOf(free, count);
  }

  private static void mark(boolean[] referenced, int number) {
    if (number != ShardTable.NO_TARGET) {
      referenced[number] = true;
    }
  }

  private int[] usableNumbers() {
    int[] numbers = new int[states.length];
    int count = 0;
    for (int number = 0; number < states.length; number++) {
      if (states[number].isUsable()) {
        numbers[count++] = number;
      }
    }
    return Arrays.copyOf(numbers, count);
  }

  int size() {
    return states.length;
  }

  List<TargetId> ids() {
    return ids;
  }

  TargetState state(int target) {
    return states[target];
  }

  double weight(int target) {
    return weights[target];
  }

  double totalWeight() {
    return totalWeight;
  }

  /**
   * Returns the usable targets in ascending order; the array is shared and must not be modified.
   */
  int[] usable() {
    return usable;
  }

  boolean sameDataCentre(int first, int second) {
    return dataCentres[first] == dataCentres[second];
  }

  /** Returns whether there is a usable target outside the data centre of the given one. */
  boolean hasUsableElsewhere(int target) {
    int dataCentre = dataCentres[target];
    double here = dataCentre == UNKNOWN_DATA_CENTRE ? 0 : dataCentreWeights[dataCentre];
    return totalWeight - here > totalWeight * 1e-9;
  }
}
