package io.cuminvalve.gateway;

import io.cuminvalve.core.lease.LeaseTimings;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

/**
 * What a gateway has to know at its start.
 *
 * @param process names this process among the gateways; not null
 * @param dataCentre where it runs; not null
 * @param callerAddress where it listens for callers; not null
 * @param readinessAddress where it tells whether callers may be sent to it; not null
 * @param metricsAddress where it serves its metrics, if anywhere; not null
 * @param readinessPath the path of that question; not null
 * @param peerHost the IP address on which it listens for other gateways; not null
 * @param peerPort the port; 0 for any free one
 * @param headers the header fields in use; not null
 * @param firstCandidate whether it tries to take a vacant term at once; the others wait a little
 * @param processorCores how many cores it may use; stronger processes take a vacant term first
 * @param firstStart whether the whole fleet starts for the first time, so that nothing is known yet
 * @param leases the times of leases at targets; not null
 * @param repeatShare how many repeats are allowed for each request; 0 to 1
 * @param repeatsPerFleet how many more all gateways together may send in a window
 * @param repeatWindowMs the length of that window; milliseconds
 * @param stopNoticeMs how long it goes on serving after it has been told to stop, so that callers
 *     are led elsewhere; milliseconds
 * @param stopLimitMs by when it has ended after it has been told to stop; milliseconds
 * @param seedPeers peer addresses of some gateways, which may be down; asked for what they know
 *     while the store does not answer; not null
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
    RequestHeaders headers,
    boolean firstCandidate,
    double processorCores,
    boolean firstStart,
    LeaseTimings leases,
    double repeatShare,
    double repeatsPerFleet,
    long repeatWindowMs,
    long stopNoticeMs,
    long stopLimitMs,
    List<String> seedPeers) {

  /** Copies the list. */
  public GatewaySettings {
    seedPeers = List.copyOf(seedPeers);
  }
}
