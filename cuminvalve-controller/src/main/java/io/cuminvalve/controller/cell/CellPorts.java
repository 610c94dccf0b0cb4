package io.cuminvalve.controller.cell;

import io.cuminvalve.core.authority.TableCodec;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.ports.store.KeyValueStore;
import io.cuminvalve.ports.target.TargetControl;
import io.cuminvalve.wire.PeerNetwork;

/**
 * What the effects of a cell need.
 *
 * @param control the thread that owns all cells; not null
 * @param clock the process's clock; not null
 * @param store the platform's store; not null
 * @param targets orders to targets; not null
 * @param network messages to peers; not null
 * @param codec reads term records; not null
 * @param targetTimeoutMs how long to wait before an order to an unknown target counts as
 *     unanswered; milliseconds
 * @since 0.1
 */
public record CellPorts(
    ControlThread control,
    MillisClock clock,
    KeyValueStore store,
    TargetControl targets,
    PeerNetwork network,
    TableCodec codec,
    long targetTimeoutMs) {}
