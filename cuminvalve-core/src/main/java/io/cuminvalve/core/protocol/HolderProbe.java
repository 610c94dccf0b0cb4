package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;

/**
 * Sent by a standby controller to the term holder to check that its control thread is alive.
 *
 * @param cell the cell; not null
 * @since 0.1
 */
public record HolderProbe(CellId cell) implements PeerMessage {}
