package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;

/**
 * Reply of a controller that does not hold the term.
 *
 * @param cell the cell; not null
 * @param holderAddress last known peer address of the term holder; empty if unknown
 * @since 0.1
 */
public record NotHolder(CellId cell, String holderAddress) implements PeerMessage {}
