package io.cuminvalve.wire;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.ConfigPush;
import io.cuminvalve.core.protocol.Heartbeat;
import io.cuminvalve.core.protocol.HeartbeatReply;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.protocol.RouterHello;
import io.cuminvalve.core.protocol.ShardsOpened;
import io.cuminvalve.core.protocol.TablePush;
import io.cuminvalve.core.protocol.TargetObservation;
import io.cuminvalve.core.table.RegisteredRouter;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.core.table.TableVersion;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

/** Sample messages and shard tables for tests. */
final class SampleMessages {

  static final CellId CELL = new CellId("claims");
  static final TableVersion VERSION = new TableVersion(3, 70_000, 1);

  private SampleMessages() {}

  static Heartbeat heartbeat(long round) {
    return new Heartbeat(CELL, 3, round, VERSION, 12);
  }

  static List<PeerMessage> all() {
    TargetObservation observation =
        new TargetObservation(
            new TargetId("claims-01"), new Incarnation(-5), Long.MAX_VALUE, 0, true, 4);
    RouterId router = new RouterId("r1");
    return List.of(
        heartbeat(9),
        new HeartbeatReply(
            CELL,
            router,
            new Incarnation(77),
            3,
            9,
            true,
            VERSION,
            12,
            500,
            List.of(observation, observation)),
        new RouterHello(
            CELL, router, new Incarnation(1), new DataCentreId("dc-1"), "127.0.0.1:7001"),
        new ConfigPush(CELL, 12, new byte[] {0, -1, 127}),
        new ShardsOpened(CELL, VERSION, new int[] {0, 65_535}, new long[] {2, Long.MAX_VALUE}),
        new TablePush(CELL, table(64, 5, new Random(7)), new int[] {3}));
  }

  static ShardTable table(int shards, int targets, Random random) {
    List<TargetId> ids =
        IntStream.range(0, targets).mapToObj(i -> new TargetId("target-" + i)).toList();
    List<RegisteredRouter> routers =
        List.of(
            new RegisteredRouter(
                new RouterId("r1"), new DataCentreId("dc-1"), "127.0.0.1:7001", true));
    int[] previous =
        IntStream.range(0, shards)
            .map(i -> i % 10 == 0 ? random.nextInt(targets) : ShardTable.NO_TARGET)
            .toArray();
    return new ShardTable(
        CELL,
        VERSION,
        12,
        routers,
        List.of(new RouterId("r9")),
        ids,
        random.ints(shards, -1, targets).toArray(),
        random.ints(shards, -1, targets).toArray(),
        previous,
        random.longs(shards, 0, 1L << 31).toArray());
  }
}
