package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;

/**
 * Requests the receiver's configuration.
 *
 * @param cell the cell; not null
 * @param known the newest revision known to the sender
 * @since 0.1
 */
public record ConfigRequest(CellId cell, long known) implements PeerMessage {}
