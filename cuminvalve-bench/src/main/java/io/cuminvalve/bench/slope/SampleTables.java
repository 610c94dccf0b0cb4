package io.cuminvalve.bench.slope;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.table.RegisteredRouter;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.core.table.TableVersion;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/**
 * Settled tables of any size with realistic names and tokens.
 *
 * @since 0.1
 */
final class SampleTables {

  static final CellId CELL = new CellId("claims");

  private static final long SEED = 20_261_202;
  private static final int MAX_WITNESSES = 9;
  private static final int MAX_TOKEN = 100_000;

  private SampleTables() {}

  static ShardTable table(int instances, int shards, int routers) {
    Random random = new Random(SEED);
    int[] owners = random.ints(shards, 0, instances).toArray();
    int[] standbys = random.ints(shards, 0, instances).toArray();
    int[] previousOwners = new int[shards];
    Arrays.fill(previousOwners, ShardTable.NO_TARGET);
    long[] tokens = random.longs(shards, 2, MAX_TOKEN).toArray();
    List<TargetId> targets = new ArrayList<>();
    for (int number = 0; number < instances; number++) {
      targets.add(new TargetId(String.format(Locale.ROOT, "claims-%05d", number)));
    }
    return new ShardTable(
        CELL,
        new TableVersion(7, 1234, 0),
        99,
        routers(routers),
        List.of(),
        targets,
        owners,
        standbys,
        previousOwners,
        tokens);
  }

  private static List<RegisteredRouter> routers(int count) {
    List<RegisteredRouter> routers = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      routers.add(
          new RegisteredRouter(
              new RouterId("router-" + number),
              new DataCentreId("dc" + number % 3),
              "10.0.0." + number + ":7000",
              number < MAX_WITNESSES));
    }
    return routers;
  }
}
