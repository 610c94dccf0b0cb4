package io.cuminvalve.demo;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.core.table.TableVersion;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ChurnMeterTest {

  private static final CellId CELL = new CellId("claims");

  private ShardTable current;

  @Test
  void countsChangesOfOwnersButNotTheFirstAssignment() {
    ChurnMeter meter = new ChurnMeter(cell -> Optional.ofNullable(current));
    meter.sample(CELL);
    show(ShardTable.NO_TARGET, ShardTable.NO_TARGET, ShardTable.NO_TARGET);
    meter.sample(CELL);
    show(0, 1, 1);
    meter.sample(CELL);
    show(0, 0, 0);
    meter.sample(CELL);

    assertThat(meter.changesOf(CELL)).isEqualTo(2);
    assertThat(ChurnMeter.owner(meter.lastOf(CELL).orElseThrow(), 2))
        .hasValue(new TargetId("claims-01"));
  }

  private void show(int... owners) {
    int[] nobody = {ShardTable.NO_TARGET, ShardTable.NO_TARGET, ShardTable.NO_TARGET};
    current =
        new ShardTable(
            CELL,
            new TableVersion(1, 1, 0),
            1,
            List.of(),
            List.of(),
            List.of(new TargetId("claims-01"), new TargetId("claims-02")),
            owners,
            nobody,
            nobody,
            new long[owners.length]);
  }
}
