package io.cuminvalve.config.admin;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.TargetId;
import java.util.List;

/**
 * Where a key is served and why.
 *
 * @param cell the cell; not null
 * @param key the key; not null
 * @param hash its hash in hexadecimal; not null
 * @param shard its shard
 * @param owner the target that owns the shard; null if nobody does
 * @param standby the target that takes over when the owner is lost; null if there is none
 * @param previousOwner the owner that a moving shard comes from; null if it is settled
 * @param token the owner's fencing token
 * @param tableVersion the table version that says so; not null
 * @param open whether routers may send requests to the owner
 * @param reason why the owner was chosen; not null
 * @param lastMoves the shard's last moves, newest first; not null, copied
 * @since 0.1
 */
public record KeyReport(
    CellId cell,
    String key,
    String hash,
    int shard,
    TargetId owner,
    TargetId standby,
    TargetId previousOwner,
    long token,
    String tableVersion,
    boolean open,
    String reason,
    List<ChangeRecord> lastMoves) {

  /** Copies the list. */
  public KeyReport {
    lastMoves = List.copyOf(lastMoves);
  }
}
