package io.cuminvalve.config.settings;

import io.cuminvalve.core.authority.AuthorityTimings;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.RouterId;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * What one router process learns from its settings.
 *
 * @param id its identifier; not null
 * @param dataCentre where it runs; not null
 * @param callerAddress where it listens for callers; not null
 * @param peerAddress where it listens for our own processes, and what it registers; not null
 * @param adminAddress where it listens for operators, probes and metrics; not null
 * @param sharedKeyPath the file that holds the key shared by our own processes; not null
 * @param storeAddresses the store's endpoints, tried in order; not null, not empty, copied
 * @param hostListAddresses the host list's endpoints; not null, may be empty, copied
 * @param seedPeerAddresses peers to ask while the store is out; not null, may be empty, copied
 * @param cells the cells it serves; not null, not empty, copied
 * @param timings the durations of the authority protocol; not null
 * @param traffic bounds on traffic; not null
 * @since 0.1
 */
public record RouterSettings(
    RouterId id,
    DataCentreId dataCentre,
    InetSocketAddress callerAddress,
    InetSocketAddress peerAddress,
    InetSocketAddress adminAddress,
    Path sharedKeyPath,
    List<InetSocketAddress> storeAddresses,
    List<InetSocketAddress> hostListAddresses,
    List<InetSocketAddress> seedPeerAddresses,
    List<CellId> cells,
    AuthorityTimings timings,
    TrafficSettings traffic) {

  /** Copies the lists and fills in defaults for what a settings file left out. */
  public RouterSettings {
    storeAddresses = List.copyOf(storeAddresses);
    hostListAddresses = Lists.copyOrEmpty(hostListAddresses);
    seedPeerAddresses = Lists.copyOrEmpty(seedPeerAddresses);
    cells = List.copyOf(cells);
    timings = timings == null ? AuthorityTimings.DEFAULT : timings;
    traffic = traffic == null ? TrafficSettings.defaults() : traffic;
  }
}
