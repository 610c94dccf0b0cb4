package io.cuminvalve.gateway;

import io.cuminvalve.core.lease.LeaseTimings;
import io.cuminvalve.core.quota.ColdBound;
import io.cuminvalve.core.stop.StopPolicy;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

/**
 * The startup settings of a gateway.
 *
 * @param process the id of this process among the gateways; not null
 * @param dataCentre the data centre of this process; not null
 * @param callerAddress the listen address for callers; not null
 * @param readinessAddress the listen address of the readiness endpoint; not null
 * @param metricsAddress the listen address of the metrics endpoint; empty to disable it; not null
 * @param readinessPath the path of the readiness endpoint; not null
 * @param peerHost the IP address to listen on for other gateways; not null
 * @param peerPort the port to listen on for other gateways; 0 for any free port
 * @param relayPort the port to listen on for requests that other gateways relay; 0 for any free
 *     port
 * @param headers the names of the header fields; not null
 * @param firstCandidate whether it tries to acquire a vacant term without delay
 * @param processorCores the number of cores it may use; processes with few cores wait longer before
 *     they try to acquire a vacant term
 * @param firstStart whether the whole fleet starts for the first time, without earlier state
 * @param leases the timings of leases at targets; not null
 * @param evacuationGraceMs for how long owners of keys in an evacuated data centre continue to get
 *     requests while their keys move; milliseconds
 * @param coldBound the bound on requests to cold targets; not null
 * @param repeatShare the number of retries permitted per request; 0 to 1
 * @param repeatsPerFleet the number of additional retries that all gateways together may send per
 *     window
 * @param repeatWindowMs the length of the retry window; milliseconds
 * @param stopNoticeMs how long it continues to serve after a stop request, so that callers can be
 *     redirected; milliseconds
 * @param stopLimitMs the maximum duration of a shutdown; milliseconds
 * @param pipelinedRequests how many requests of a caller's connection are handled before an earlier
 *     one is answered, if the caller sends them so early; 0 for none
 * @param seedPeers peer addresses of some gateways, which may be down; they are asked for routing
 *     state while the store does not respond; not null
 * @since 0.2
 */
public record GatewaySettings(
    String process,
    String dataCentre,
    InetSocketAddress callerAddress,
    InetSocketAddress readinessAddress,
    Optional<InetSocketAddress> metricsAddress,
    String readinessPath,
    String peerHost,
    int peerPort,
    int relayPort,
    RequestHeaders headers,
    boolean firstCandidate,
    double processorCores,
    boolean firstStart,
    LeaseTimings leases,
    long evacuationGraceMs,
    ColdBound coldBound,
    double repeatShare,
    double repeatsPerFleet,
    long repeatWindowMs,
    long stopNoticeMs,
    long stopLimitMs,
    int pipelinedRequests,
    List<String> seedPeers) {

  /** Creates settings with a copy of the list. */
  public GatewaySettings {
    seedPeers = List.copyOf(seedPeers);
  }

  /**
   * Returns which requests are taken during a shutdown.
   *
   * @return never null
   */
  public StopPolicy stopPolicy() {
    return new StopPolicy(Math.min(stopNoticeMs, stopLimitMs), stopLimitMs);
  }
}
