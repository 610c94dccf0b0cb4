package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RouterId;

/**
 * Sent by a router to a controller to register, or to announce a restart.
 *
 * @param cell the cell; not null
 * @param router the sender; not null
 * @param incarnation the sender's incarnation; not null
 * @param dataCentre the sender's data centre; not null
 * @param peerAddress IP address and port of the sender's peer listener; not null
 * @since 0.1
 */
public record RouterHello(
    CellId cell,
    RouterId router,
    Incarnation incarnation,
    DataCentreId dataCentre,
    String peerAddress)
    implements PeerMessage {}
