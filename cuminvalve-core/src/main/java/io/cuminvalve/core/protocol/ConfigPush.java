package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;

/**
 * Carries a full configuration, sent by the term holder or in reply to a {@link ConfigRequest}.
 *
 * @param cell the cell; not null
 * @param revision the revision of the configuration
 * @param json the published document as stored; not null
 * @since 0.1
 */
public record ConfigPush(CellId cell, long revision, byte[] json) implements PeerMessage {}
