package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.table.TableVersion;

/**
 * Sent by a new gate to request the permits that the receiver holds.
 *
 * @param cell the cell; not null
 * @param gate the sender; not null
 * @param gateIncarnation the sender's incarnation; not null
 * @param version the table version installed at the sender; not null
 * @since 0.1
 */
public record PermitReportRequest(
    CellId cell, RouterId gate, Incarnation gateIncarnation, TableVersion version)
    implements PeerMessage {}
