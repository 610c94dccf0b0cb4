package io.cuminvalve.gateway.control;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.quarantine.CrashTracker;
import io.cuminvalve.core.reach.TermFitness;
import io.cuminvalve.gateway.GatewayPorts;
import io.cuminvalve.gateway.GatewaySettings;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.traffic.ReachMonitor;
import io.cuminvalve.gateway.traffic.RoutingState;
import io.cuminvalve.gateway.traffic.TrafficReports;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.kernel.SharedKey;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.ports.store.StoreValue;
import io.cuminvalve.wire.PeerChannel;
import io.cuminvalve.wire.PeerNetworkSettings;
import io.cuminvalve.wire.RecordCodec;
import io.cuminvalve.wire.TcpPeerNetwork;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * The control plane of a gateway: configuration, term, targets and owners.
 *
 * @since 0.2
 */
public final class FleetControl implements TermLease.Listener {

  private static final long CONNECT_TIMEOUT_MS = 500;
  private static final long KEEP_ALIVE_MS = 1_000;
  private static final long SILENCE_TIMEOUT_MS = 3_000;
  private static final long BACKOFF_MIN_MS = 50;
  private static final long BACKOFF_MAX_MS = 500;
  private static final int QUEUE_CAPACITY = 256;

  /** Interval between two checks whether another gateway should hold the term. */
  private static final long FITNESS_CHECK_MS = 200;

  /**
   * Start delay of all gateways but the first candidate when a whole fleet starts for the first
   * time. The others find the term taken then; 95 gateways that tried to take it at once made 800
   * calls to the store. No client is served yet at that point.
   */
  private static final long FIRST_START_DELAY_MS = 1_000;

  private static final long FIRST_START_SPREAD_MS = 500;

  private final GatewayPorts ports;
  private final GatewaySettings settings;
  private final RoutingState state;
  private final ControlThread control;
  private final MillisClock clock;
  private final DecisionLog log;
  private final RecordCodec codec = new RecordCodec();
  private final SplittableRandom random;
  private final TcpPeerNetwork network;
  private final ConfigurationWatch configuration;
  private final FleetLink link;
  private final TermLease termLease;
  private final Function<TargetId, OptionalDouble> limits;
  private final Consumer<TargetId> onLeaving;
  private final ReachMonitor reach;
  private Optional<TermCoordinator> coordinator = Optional.empty();
  private volatile boolean holdsTerm;
  private boolean storeRestored;

  /**
   * Creates the control plane of a gateway and opens the listener for peers.
   *
   * @param ports external services; not null
   * @param settings settings of the gateway; not null
   * @param sharedKey authenticates peers of the fleet; not null
   * @param state routing state to update; not null
   * @param control the control thread; not null
   * @param clock the clock; not null
   * @param log log of control decisions; not null
   * @param reports measurements of the traffic; not null
   */
  public FleetControl(
      GatewayPorts ports,
      GatewaySettings settings,
      SharedKey sharedKey,
      RoutingState state,
      ControlThread control,
      MillisClock clock,
      DecisionLog log,
      TrafficReports reports) {
    this.ports = ports;
    this.settings = settings;
    this.state = state;
    this.control = control;
    this.clock = clock;
    this.log = log;
    this.random = new SplittableRandom();
    this.limits = reports.quotas()::limitOf;
    this.onLeaving = reports.departures()::onLeaving;
    this.reach = reports.reach();
    this.network =
        new TcpPeerNetwork(
            new PeerNetworkSettings(
                settings.peerHost(),
                settings.peerPort(),
                sharedKey,
                CONNECT_TIMEOUT_MS,
                KEEP_ALIVE_MS,
                SILENCE_TIMEOUT_MS,
                BACKOFF_MIN_MS,
                BACKOFF_MAX_MS,
                QUEUE_CAPACITY),
            this::onMessage,
            (address, reachability) -> {},
            control,
            clock,
            random.split());
    FleetTimings timings = new FleetTimings(state);
    Deputies deputies = new Deputies(network.localAddress());
    PeerReliance peerReliance =
        new PeerReliance(timings::confirmedMs, () -> !deputies.mustFollowStore());
    this.configuration =
        new ConfigurationWatch(
            ports, state, control, clock, log, peerReliance, this::onConfigurationChanged);
    this.link =
        new FleetLink(
            network,
            state,
            control,
            clock,
            log,
            ports,
            codec,
            settings,
            configuration,
            reports,
            timings,
            this::onTermReplaced,
            new TermLeaseKnowledge(),
            deputies,
            new CrashTracker(random.nextDouble()));
    this.termLease =
        new TermLease(
            ports.store(),
            control,
            clock,
            random.split(),
            log,
            codec,
            new TermHolderRecord(settings.process(), random.nextLong(), network.localAddress()),
            settings.firstCandidate(),
            settings.processorCores(),
            () -> TermFitness.candidateDelayMs(reach.share()),
            settings.leases().holderGraceMs(),
            peerReliance,
            this);
  }

  private void onMessage(PeerChannel sender, PeerMessage message) {
    link.onMessage(sender, message);
  }

  private void onTermReplaced() {
    termLease.onReplaced();
  }

  private void onConfigurationChanged(StoreValue value) {
    link.announceConfiguration(value.revision());
  }

  /**
   * Returns the time since the configuration was last confirmed as current. Thread-safe.
   *
   * @return milliseconds
   */
  public long configurationAgeMs() {
    return configuration.ageMs();
  }

  /** Starts the peer network and, after a delay on the first start of a fleet, all other parts. */
  public void start() {
    network.start();
    boolean first = settings.firstCandidate() || !settings.firstStart();
    control.schedule(
        this::begin, first ? 0 : FIRST_START_DELAY_MS + random.nextLong(FIRST_START_SPREAD_MS));
  }

  private void begin() {
    ports.store().onEpoch(() -> control.execute(this::onStoreCameBack));
    termLease.start();
    configuration.start();
    link.start();
    control.scheduleRepeatedly(this::checkFitness, FITNESS_CHECK_MS);
  }

  private void checkFitness() {
    if (link.shouldYieldTerm() && !termLease.isOutage()) {
      termLease.relinquish("targets_unreachable");
    }
  }

  /**
   * Handles a store that was restored from an older copy and has lost acknowledged writes: the
   * holder writes its state again.
   */
  private void onStoreCameBack() {
    log.write("store_came_back_older", "epoch={}", ports.store().epoch());
    storeRestored = true;
    configuration.onStoreRestored();
    termLease.onStoreCameBack();
    coordinator.ifPresent(this::rewriteOwnership);
  }

  /**
   * Rewrites the ownership tables, or gives up the term. The restored store may name this process
   * as the holder although another one has replaced it, so it may write only while most gateways
   * still follow it.
   */
  private void rewriteOwnership(TermCoordinator holder) {
    if (link.hasMajorityOfFollowers()) {
      holder.rewrite(termLease::reacquire);
    } else {
      termLease.relinquish("store_came_back_older");
    }
  }

  /**
   * Verifies the term and the targets again after this host resumes from a suspension, before
   * acting on them. Runs on the control thread.
   */
  public void onWoken() {
    termLease.onWoken();
    link.onWoken();
  }

  /**
   * Gives up the term so that another gateway can take it at once, and tells the holder that this
   * one stops; routing continues.
   */
  public void resign() {
    control.execute(termLease::close);
    control.execute(link::onStopping);
  }

  /**
   * Stops coordinating the fleet if this process holds the term, and sends the remaining leases to
   * the other gateways. Returns when that is done.
   */
  public void retire() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    control.execute(
        () -> {
          onLost();
          done.complete(null);
        });
    done.join();
  }

  /** Stops following the configuration and closes the peer network. */
  public void close() {
    control.execute(configuration::close);
    network.close();
  }

  /**
   * Returns whether this process holds the term. Thread-safe.
   *
   * @return true between taking and losing it
   */
  public boolean holdsTerm() {
    return holdsTerm;
  }

  @Override
  public void onGained(long term) {
    TermCoordinator next =
        new TermCoordinator(
            ports,
            state,
            control,
            clock,
            log,
            codec,
            settings.leases(),
            term,
            termLease,
            link,
            storeRestored,
            limits,
            onLeaving,
            reach);
    coordinator = Optional.of(next);
    holdsTerm = true;
    link.setCoordinator(coordinator);
    next.start();
  }

  @Override
  public void onLost() {
    coordinator.ifPresent(TermCoordinator::close);
    coordinator = Optional.empty();
    holdsTerm = false;
    link.setCoordinator(coordinator);
  }

  @Override
  public void onOtherHolder(String peerAddress) {
    log.write("holder_known", "address={}", peerAddress);
    link.setHolder(peerAddress);
  }

  /** Forwards to the term lease, which is created after the link. */
  private final class TermLeaseKnowledge implements TermView {

    @Override
    public boolean onHeard(long term, String holderAddress, UpperTime at) {
      return termLease.onHeard(term, holderAddress, at);
    }

    @Override
    public long newest() {
      return termLease.newest();
    }

    @Override
    public long ageMs() {
      return termLease.ageMs();
    }
  }
}
