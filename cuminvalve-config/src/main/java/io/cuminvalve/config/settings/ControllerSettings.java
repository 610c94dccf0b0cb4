package io.cuminvalve.config.settings;

import io.cuminvalve.core.authority.AuthorityTimings;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.ControllerId;
import io.cuminvalve.core.id.DataCentreId;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * What one controller process learns from its settings.
 *
 * @param id its identifier; not null
 * @param dataCentre where it runs; not null
 * @param peerAddress where it listens for our own processes; not null
 * @param adminAddress where it listens for operators, probes and metrics; not null
 * @param sharedKeyPath the file that holds the key shared by our own processes; not null
 * @param storeAddresses the store's endpoints, tried in order; not null, not empty, copied
 * @param hostListAddresses the host list's endpoints; not null, may be empty, copied
 * @param cells the cells for whose terms it competes; not null, not empty, copied
 * @param timings the durations of the authority protocol; not null
 * @since 0.1
 */
public record ControllerSettings(
    ControllerId id,
    DataCentreId dataCentre,
    InetSocketAddress peerAddress,
    InetSocketAddress adminAddress,
    Path sharedKeyPath,
    List<InetSocketAddress> storeAddresses,
    List<InetSocketAddress> hostListAddresses,
    List<CellId> cells,
    AuthorityTimings timings) {

  /** Copies the lists and fills in defaults for what a settings file left out. */
  public ControllerSettings {
    storeAddresses = List.copyOf(storeAddresses);
    hostListAddresses = Lists.copyOrEmpty(hostListAddresses);
    cells = List.copyOf(cells);
    timings = timings == null ? AuthorityTimings.DEFAULT : timings;
  }
}
