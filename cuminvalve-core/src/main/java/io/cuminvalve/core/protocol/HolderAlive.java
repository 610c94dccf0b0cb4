package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;

/**
 * Reply of the term holder to a {@link HolderProbe}.
 *
 * @param cell the cell; not null
 * @param term the term that the sender holds or is acquiring
 * @since 0.1
 */
public record HolderAlive(CellId cell, long term) implements PeerMessage {}
