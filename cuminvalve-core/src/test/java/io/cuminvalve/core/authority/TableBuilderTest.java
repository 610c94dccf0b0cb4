package io.cuminvalve.core.authority;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.authority.internal.HolderContext;
import io.cuminvalve.core.authority.internal.MoveExecutor;
import io.cuminvalve.core.authority.internal.Outbox;
import io.cuminvalve.core.authority.internal.SafetyRules;
import io.cuminvalve.core.authority.internal.TableBuilder;
import io.cuminvalve.core.authority.internal.TargetWatch;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.placement.PlacementPlan;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.core.table.TableVersion;
import java.util.List;
import org.junit.jupiter.api.Test;

class TableBuilderTest {

  private static final CellId CELL = new CellId("claims");
  private static final List<TargetId> TARGETS =
      List.of(new TargetId("t0"), new TargetId("t1"), new TargetId("t2"), new TargetId("t3"));

  private final HolderContext context =
      new HolderContext(
          CELL,
          1,
          AuthorityTimings.DEFAULT,
          SafetyRules.ALL,
          new Outbox(AuthorityTimings.DEFAULT),
          new FakeCodec());
  private final MoveExecutor moves = new MoveExecutor(context, new TargetWatch(context, 0));

  @Test
  void refusedMoveLeavesTheStandbyAlone() {
    // Otherwise each plan promotes the standby that the last one chose, and the table never rests.
    ShardTable moving = table(1, 2, 0);
    moves.onIssued(moving);
    TableBuilder builder = new TableBuilder(moving).apply(plan(2, 3), moves);
    assertThat(builder.isChanged()).isFalse();
  }

  @Test
  void acceptedMoveRecordsThePreviousOwnerAndTheNextToken() {
    ShardTable settled = table(1, 2, ShardTable.NO_TARGET);
    moves.onIssued(settled);
    TableBuilder builder = new TableBuilder(settled).apply(plan(2, 3), moves);
    assertThat(builder.isOwnerChanged()).isTrue();
    ShardTable next = builder.build(new TableVersion(1, 2, 0), 1);
    assertThat(next.owner(0)).isEqualTo(2);
    assertThat(next.previousOwner(0)).isEqualTo(1);
    assertThat(next.standby(0)).isEqualTo(3);
    assertThat(next.token(0)).isEqualTo(6);
  }

  private static ShardTable table(int owner, int standby, int previousOwner) {
    return new ShardTable(
        CELL,
        new TableVersion(1, 1, 0),
        1,
        List.of(),
        List.of(),
        TARGETS,
        new int[] {owner},
        new int[] {standby},
        new int[] {previousOwner},
        new long[] {4});
  }

  private static PlacementPlan plan(int owner, int standby) {
    return new PlacementPlan(TARGETS, new int[] {owner}, new int[] {standby}, List.of(), 1, 1);
  }
}
