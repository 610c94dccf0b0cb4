package io.cuminvalve.gateway.control;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.quarantine.CrashTracker;
import io.cuminvalve.gateway.GatewayPorts;
import io.cuminvalve.gateway.GatewaySettings;
import io.cuminvalve.gateway.observe.DecisionLog;
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
 * Everything of a gateway that is not traffic: configuration, term, targets, owners.
 *
 * @since 0.2
 */
public final class FleetControl implements TermLease.Listener {

  private static final long CONNECT_TIMEOUT_MS = 500;
  private static final long KEEP_ALIVE_MS = 1_000;
  private static final long SILENT_MS = 3_000;
  private static final long BACKOFF_MIN_MS = 50;
  private static final long BACKOFF_MAX_MS = 500;
  private static final int QUEUE_CAPACITY = 256;

  /**
   * When a whole fleet starts for the first time, one gateway looks for the term first and the
   * others find it taken: 95 that all looked at once cost 800 calls of the store. Nobody is served
   * yet.
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
  private Optional<HolderDuties> duties = Optional.empty();
  private volatile boolean holdsTerm;
  private boolean storeCameBack;

  /**
   * Creates the control of a gateway. Opens the listener for peers.
   *
   * @param ports what it needs from outside; not null
   * @param settings what it has to know; not null
   * @param sharedKey proves that a peer belongs to the fleet; not null
   * @param state where knowledge goes; not null
   * @param control the control thread; not null
   * @param clock the time; not null
   * @param log takes decisions; not null
   * @param reports what traffic measured; not null
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
    this.network =
        new TcpPeerNetwork(
            new PeerNetworkSettings(
                settings.peerHost(),
                settings.peerPort(),
                sharedKey,
                CONNECT_TIMEOUT_MS,
                KEEP_ALIVE_MS,
                SILENT_MS,
                BACKOFF_MIN_MS,
                BACKOFF_MAX_MS,
                QUEUE_CAPACITY),
            this::onMessage,
            (address, reachability) -> {},
            control,
            clock,
            random.split());
    FleetPace pace = new FleetPace(state);
    Deputies deputies = new Deputies(network.localAddress());
    Reliance reliance = new Reliance(pace::confirmedMs, () -> !deputies.isNeeded());
    this.configuration =
        new ConfigurationWatch(ports, state, control, clock, log, reliance, this::onConfiguration);
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
            pace,
            this::onReplaced,
            new LeasedTerm(),
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
            new TermNote(settings.process(), random.nextLong(), network.localAddress()),
            settings.firstCandidate(),
            settings.processorCores(),
            settings.leases().holderGraceMs(),
            reliance,
            this);
  }

  private void onMessage(PeerChannel sender, PeerMessage message) {
    link.onMessage(sender, message);
  }

  private void onReplaced() {
    termLease.onReplaced();
  }

  private void onConfiguration(StoreValue value) {
    link.tellConfiguration(value.revision());
  }

  /**
   * Returns for how long nobody has confirmed the configuration. For any thread.
   *
   * @return milliseconds
   */
  public long configurationAgeMs() {
    return configuration.ageMs();
  }

  /** Starts. */
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
  }

  /** The store has lost what it acknowledged last: the holder writes what it knows again. */
  private void onStoreCameBack() {
    log.write("store_came_back_older", "epoch={}", ports.store().epoch());
    storeCameBack = true;
    termLease.onStoreCameBack();
    duties.ifPresent(this::writeAgain);
  }

  /**
   * The older store may name this process as the holder although another has replaced it: only one
   * that most gateways still follow may write what it knows.
   */
  private void writeAgain(HolderDuties holder) {
    if (link.isFollowedByMost()) {
      holder.rewrite(termLease::takeAgain);
    } else {
      termLease.renounce("store_came_back_older");
    }
  }

  /**
   * This host was suspended: what is believed is looked at again before it is acted on. For the
   * control thread.
   */
  public void onWoken() {
    termLease.onWoken();
    link.onWoken();
  }

  /** Gives the term up, so that another gateway takes it at once; goes on routing. */
  public void resign() {
    control.execute(termLease::close);
  }

  /** Ends the duties of a holder, if it is one, and tells the others. Returns when that is done. */
  public void retire() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    control.execute(
        () -> {
          onLost();
          done.complete(null);
        });
    done.join();
  }

  /** Ends everything. */
  public void close() {
    control.execute(configuration::close);
    network.close();
  }

  /**
   * Tells whether this process holds the term. For any thread.
   *
   * @return true between taking and losing it
   */
  public boolean holdsTerm() {
    return holdsTerm;
  }

  @Override
  public void onGained(long term) {
    HolderDuties next =
        new HolderDuties(
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
            storeCameBack,
            limits,
            onLeaving);
    duties = Optional.of(next);
    holdsTerm = true;
    link.setDuties(duties);
    next.start();
  }

  @Override
  public void onLost() {
    duties.ifPresent(HolderDuties::close);
    duties = Optional.empty();
    holdsTerm = false;
    link.setDuties(duties);
  }

  @Override
  public void onOtherHolder(String peerAddress) {
    log.write("holder_known", "address={}", peerAddress);
    link.setHolder(peerAddress);
  }

  /** The link is made before the lease of the term. */
  private final class LeasedTerm implements TermKnowledge {

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
