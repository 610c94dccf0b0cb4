package io.cuminvalve.gateway.control;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.ConfigurationUpdate;
import io.cuminvalve.core.protocol.FleetHeartbeat;
import io.cuminvalve.core.protocol.FleetHello;
import io.cuminvalve.core.protocol.FleetMessage;
import io.cuminvalve.core.protocol.FleetSnapshot;
import io.cuminvalve.core.protocol.FollowerHeartbeat;
import io.cuminvalve.core.protocol.KeyLoadReport;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.protocol.RemainingLeases;
import io.cuminvalve.core.protocol.RoutesChange;
import io.cuminvalve.core.protocol.RoutesPush;
import io.cuminvalve.core.protocol.ServiceRanges;
import io.cuminvalve.core.protocol.TargetBackoff;
import io.cuminvalve.core.protocol.TargetBackoffsReport;
import io.cuminvalve.core.protocol.TargetLatencyReport;
import io.cuminvalve.core.protocol.TargetReplaced;
import io.cuminvalve.core.protocol.TargetsChange;
import io.cuminvalve.core.protocol.TargetsPush;
import io.cuminvalve.core.protocol.TermSuperseded;
import io.cuminvalve.core.quarantine.CrashTracker;
import io.cuminvalve.gateway.GatewayPorts;
import io.cuminvalve.gateway.GatewaySettings;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.traffic.KeyOwners;
import io.cuminvalve.gateway.traffic.OwnersVersion;
import io.cuminvalve.gateway.traffic.RoutingState;
import io.cuminvalve.gateway.traffic.TrafficReports;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.ports.store.StoreValue;
import io.cuminvalve.wire.PeerChannel;
import io.cuminvalve.wire.PeerNetwork;
import io.cuminvalve.wire.RecordCodec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Exchanges state between this gateway and the term holder.
 *
 * <p>Every gateway sends hellos to the holder at an interval. The holder answers each with a
 * heartbeat and sends the targets and the owners whenever they change. A gateway that receives
 * nothing for a while follows the target registry itself. All methods run on the control thread.
 *
 * @since 0.2
 */
final class FleetLink implements TermCoordinator.Listener {

  /** Interval between two load reports; a hot key has to be noticed within a second. */
  private static final long KEY_LOAD_INTERVAL_MS = 150;

  /**
   * Interval between two reports of response times; the relative latency of a target seldom
   * changes.
   */
  private static final long TARGET_LATENCIES_INTERVAL_MS = 1_000;

  /**
   * A heartbeat whose registry age exceeds this does not count as a sign of life of the holder: it
   * covers one registry call, the pause between two calls, and some margin.
   */
  static final long STALE_REGISTRY_MS = 1_300;

  /**
   * Age of the known targets from which this gateway queries the registry itself. It covers two
   * calls of the holder to a slow store, the pause between them and the longest interval between
   * hellos; the rest of the 1.95 s after which sends are forbidden is left for its own query.
   */
  private static final long MAX_TARGETS_AGE_MS = 1_500;

  /**
   * This gateway returns to following the holder only if the targets of the holder are at most this
   * old.
   */
  private static final long FRESH_TARGETS_MS = 1_100;

  /** Interval between two checks of the age of the known targets. */
  private static final long AGE_CHECK_INTERVAL_MS = 50;

  /**
   * Delay of the first registry listing. In a large fleet a listing takes several calls, and a
   * holder that already runs may be faster.
   */
  private static final long FIRST_LISTING_DELAY_MS = 60;

  /**
   * Interval between two queries to deputies; several fit into the time for which a heartbeat
   * counts.
   */
  private static final long DEPUTY_QUERY_INTERVAL_MS = 300;

  /** Tolerated delay of a heartbeat. */
  private static final long MAX_HEARTBEAT_DELAY_MS = 150;

  /**
   * While the store answers, the holder confirms its term and configuration more often than this.
   */
  private static final long FRESH_HEARTBEAT_AGE_MS = 1_200;

  /**
   * If the store has answered another gateway within this time, it does not count as silent.
   * Shorter than the age from which sends are forbidden because of outdated targets, so that sends
   * continue during a store outage.
   */
  private static final long RECENT_STORE_ANSWER_MS = 1_700;

  /**
   * Delay before seed peers are queried; the store usually answers a starting process within a few
   * milliseconds.
   */
  private static final long SEED_QUERY_DELAY_MS = 500;

  private final PeerNetwork network;
  private final RoutingState state;
  private final ControlThread control;
  private final MillisClock clock;
  private final DecisionLog log;
  private final GatewayPorts ports;
  private final GatewaySettings settings;
  private final StartupReader startupReader;
  private final TrafficReports reports;
  private final FleetTimings timings;
  private final TermView terms;
  private final Deputies deputies;
  private final ConfigurationWatch configuration;
  private final long startedMs;
  private final Subscribers subscribers = new Subscribers();
  private final EarlierLeaseExchange earlierLeases;
  private final CrashLink crashes;
  private final QuotaLink quotas;
  private final DepartureLink departures;
  private final FallbackRegistryFollower fallbackFollower;
  private final FleetView view;
  private final FleetReach reach;
  private volatile Optional<TermCoordinator> coordinator = Optional.empty();
  private Optional<String> holderAddress = Optional.empty();
  private UpperTime holderHeard;
  private UpperTime lastFreshHeartbeat;

  /** The latest time at which the store is known to have answered another gateway. */
  private volatile UpperTime storeAnsweredOthers = UpperTime.NEVER;

  private boolean followsHolder;
  private volatile Optional<Long> firstListingDueMs = Optional.empty();

  FleetLink(
      PeerNetwork network,
      RoutingState state,
      ControlThread control,
      MillisClock clock,
      DecisionLog log,
      GatewayPorts ports,
      RecordCodec codec,
      GatewaySettings settings,
      ConfigurationWatch configuration,
      TrafficReports reports,
      FleetTimings timings,
      Runnable onTermReplaced,
      TermView terms,
      Deputies deputies,
      CrashTracker crashTracker) {
    this.network = network;
    this.state = state;
    this.control = control;
    this.clock = clock;
    this.log = log;
    this.ports = ports;
    this.settings = settings;
    this.startupReader =
        new StartupReader(ports, control, clock, log, codec, new FirstLookListener());
    this.reports = reports;
    this.timings = timings;
    this.earlierLeases = new EarlierLeaseExchange(network, subscribers, clock, onTermReplaced);
    this.crashes =
        new CrashLink(
            network, subscribers, ports.store(), codec, control, clock, log, reports, crashTracker);
    this.quotas =
        new QuotaLink(
            settings.process(), network, subscribers, state, control, clock, reports.quotas());
    this.departures =
        new DepartureLink(
            network,
            subscribers,
            state,
            control,
            clock,
            log,
            reports.departures(),
            () -> coordinator.ifPresent(TermCoordinator::onDepartures));
    this.fallbackFollower = new FallbackRegistryFollower(ports, state, control, clock, log);
    this.view = new FleetView(reports.quotas()::coldLeftMs);
    this.reach = new FleetReach(subscribers, reports, new DataCentreId(settings.dataCentre()));
    this.terms = terms;
    this.deputies = deputies;
    this.configuration = configuration;
    this.startedMs = clock.nowMs();
    this.holderHeard = clock.upper();
    this.lastFreshHeartbeat = clock.upper();
  }

  void start() {
    crashes.start();
    quotas.start();
    departures.start();
    reports.reach().onChange(() -> control.execute(this::sendHello));
    state.watch(configuration::confirmed, timings::configurationMaxAgeMs, this::isStoreSilent);
    if (!settings.firstStart()) {
      startupReader.readOwners();
      control.schedule(this::listIfTargetsUnknown, FIRST_LISTING_DELAY_MS);
    }
    repeat(this::onHelloDue, timings::helloIntervalMs);
    repeat(this::checkAge, () -> AGE_CHECK_INTERVAL_MS);
    repeat(this::queryDeputies, () -> DEPUTY_QUERY_INTERVAL_MS);
    repeat(this::reportKeyLoad, () -> timings.scaledToFleet(KEY_LOAD_INTERVAL_MS));
    repeat(this::reportTargetLatencies, () -> timings.scaledToFleet(TARGET_LATENCIES_INTERVAL_MS));
  }

  private void listIfTargetsUnknown() {
    if (state.targetsConfirmed().equals(UpperTime.NEVER)) {
      firstListingDueMs = Optional.of(clock.nowMs() + RegistryFollower.SILENT_AFTER_MS);
      startupReader.listTargets();
    }
  }

  private void repeat(Runnable task, LongSupplier intervalMs) {
    control.schedule(
        () -> {
          repeat(task, intervalMs);
          task.run();
        },
        intervalMs.getAsLong());
  }

  /** Sets the coordinator while this gateway holds the term; empty once it does not. */
  void setCoordinator(Optional<TermCoordinator> now) {
    holderHeard = clock.upper();
    followsHolder = false;
    coordinator.ifPresent(earlierLeases::onLost);
    coordinator = now;
    if (now.isPresent()) {
      Optional<String> holderBefore = holderAddress;
      holderAddress = Optional.empty();
      earlierLeases.onGained(now.get(), holderBefore);
      fallbackFollower.close();
      crashes.onGained();
      quotas.onGained();
    } else {
      crashes.onLost();
      quotas.onLost();
      subscribers.clear();
    }
  }

  void setHolder(String address) {
    if (coordinator.isEmpty()) {
      holderAddress = Optional.of(address);
      holderHeard = clock.upper();
      sendHello();
    }
  }

  void onMessage(PeerChannel sender, PeerMessage message) {
    if (message instanceof FleetHello hello) {
      onHello(sender, hello);
    } else if (message instanceof FleetSnapshot received) {
      onSnapshot(received);
    } else if (message instanceof TermSuperseded ended) {
      earlierLeases.onTermSuperseded(sender, ended);
    } else if (message instanceof RemainingLeases remaining) {
      earlierLeases.onRemainingLeases(remaining);
    } else if (message instanceof KeyLoadReport
        || message instanceof TargetLatencyReport
        || message instanceof TargetReplaced
        || message instanceof TargetBackoffsReport) {
      coordinator.ifPresent(current -> current.onReport(message));
    } else if (message instanceof FleetHeartbeat heartbeat) {
      onHeartbeat(sender, heartbeat);
    } else if (message instanceof FollowerHeartbeat heartbeat) {
      onFollowerHeartbeat(heartbeat);
    } else if (message instanceof ConfigurationUpdate update) {
      onConfigurationUpdate(update);
    } else if (message instanceof TargetsPush push) {
      onTargetsPush(push);
    } else if (message instanceof RoutesPush push) {
      onRoutesPush(push);
    } else if (message instanceof TargetsChange change) {
      onTargetsChange(change);
    } else if (message instanceof RoutesChange change) {
      onRoutesChange(change);
    } else {
      crashes.onMessage(sender, message);
      quotas.onMessage(sender, message);
      departures.onMessage(sender, message);
    }
  }

  private void onHelloDue() {
    if (coordinator.isPresent()) {
      earlierLeases.requestLeases();
      crashes.onHolderAndDeputies(Optional.empty(), subscribers.deputies());
      quotas.onHolderAndDeputies(Optional.empty(), subscribers.deputies(), subscribers.count() + 1);
      departures.onHolderAndDeputies(Optional.empty(), subscribers.deputies());
      state.setMovesPossible(
          coordinator.get().termAgeMs() <= FRESH_HEARTBEAT_AGE_MS, clock.nowMs());
      subscribers.removeSilent(clock.nowMs(), timings.helloIntervalMs());
      state.setRelayPeers(reach.ownRelays(clock.nowMs(), timings.helloIntervalMs()), clock.upper());
      updateProcesses();
      return;
    }
    sendHello();
    querySeedPeers();
    boolean silent = clock.upper().sinceMs(holderHeard) > timings.silenceTimeoutMs();
    if (silent && !fallbackFollower.isOpen()) {
      followRegistryDirectly();
    }
  }

  /**
   * Keeps the known targets from growing outdated unnoticed: the holder may have ended or be cut
   * off, or a change that it sent may have been lost.
   */
  private void checkAge() {
    if (coordinator.isPresent()) {
      state.confirmTargets(coordinator.get().targetsConfirmed());
      return;
    }
    fallbackFollower.confirmTargets();
    boolean targetsUnknown = state.targetsConfirmed().equals(UpperTime.NEVER);
    boolean outdated = clock.upper().sinceMs(state.targetsConfirmed()) > MAX_TARGETS_AGE_MS;
    if (outdated && !targetsUnknown && !fallbackFollower.isOpen()) {
      followRegistryDirectly();
    }
  }

  /**
   * Returns whether the store answers no gateway, as far as this one knows. If the store refuses
   * only this gateway, or this gateway gave its calls up by itself, it learns that from the other
   * gateways. Thread-safe.
   */
  private boolean isStoreSilent() {
    return isStoreSilentToThisGateway()
        && clock.upper().sinceMs(storeAnsweredOthers) > RECENT_STORE_ANSWER_MS;
  }

  private boolean isStoreSilentToThisGateway() {
    Optional<TermCoordinator> held = coordinator;
    if (held.isPresent()) {
      return held.get().isStoreSilent();
    }
    boolean targetsUnknown = state.targetsConfirmed().equals(UpperTime.NEVER);
    return fallbackFollower.isSilent()
        || (targetsUnknown && firstListingDueMs.filter(due -> clock.nowMs() >= due).isPresent());
  }

  /** Queries the holder and its deputies at once after this host resumes from a suspension. */
  void onWoken() {
    onHelloDue();
    queryDeputies();
  }

  /**
   * Queries the seed peers while the configuration or the holder is unknown, since the store may be
   * silent.
   */
  private void querySeedPeers() {
    boolean lost = state.current().configuration().isEmpty() || holderAddress.isEmpty();
    if (lost && clock.nowMs() - startedMs > SEED_QUERY_DELAY_MS) {
      settings.seedPeers().forEach(address -> network.send(address, hello()));
    }
  }

  /**
   * Queries deputies if no fresh heartbeat has arrived in time: the holder has missed one, or the
   * store does not answer it, and other gateways may have newer state.
   */
  private void queryDeputies() {
    boolean overdue =
        clock.upper().sinceMs(lastFreshHeartbeat)
            > timings.helloIntervalMs() + MAX_HEARTBEAT_DELAY_MS;
    if (coordinator.isEmpty() && overdue) {
      deputies.next().forEach(address -> network.send(address, hello()));
    }
  }

  private void onFollowerHeartbeat(FollowerHeartbeat heartbeat) {
    if (coordinator.isPresent()) {
      return;
    }
    UpperTime helloSent = new UpperTime(heartbeat.helloSentMs());
    recordStoreAnsweredOthers(
        helloSent, Math.min(heartbeat.termAgeMs(), heartbeat.configurationAgeMs()));
    configuration.onHeard(
        heartbeat.configurationRevision(), helloSent.minusMs(heartbeat.configurationAgeMs()));
    terms.onHeard(
        heartbeat.term(), heartbeat.holderAddress(), helloSent.minusMs(heartbeat.termAgeMs()));
  }

  private void recordStoreAnsweredOthers(UpperTime helloSent, long ageMs) {
    storeAnsweredOthers = storeAnsweredOthers.latest(helloSent.minusMs(ageMs));
  }

  private void reportKeyLoad() {
    reports.takeKeyLoad().forEach(this::report);
    reports.takeReplacedTargets().forEach(this::report);
    reportBackoffs(reports.takeStartedBackoffsMs());
  }

  private void reportTargetLatencies() {
    report(reports.takeTargetLatencies());
    reportBackoffs(reports.backoffsMs());
  }

  private void reportBackoffs(Map<TargetId, Long> leftMs) {
    if (!leftMs.isEmpty()) {
      List<TargetBackoff> backoffs = new ArrayList<>();
      leftMs.forEach((target, backoffMs) -> backoffs.add(new TargetBackoff(target, backoffMs)));
      report(new TargetBackoffsReport(settings.process(), backoffs));
    }
  }

  private void report(FleetMessage message) {
    if (coordinator.isPresent()) {
      coordinator.get().onReport(message);
    } else {
      holderAddress.ifPresent(address -> network.send(address, message));
    }
  }

  /** Tells the holder without delay that this gateway takes no more requests of peers. */
  void onStopping() {
    sendHello();
  }

  private void sendHello() {
    holderAddress.ifPresent(address -> network.send(address, hello()));
  }

  private FleetHello hello() {
    return view.hello(
        settings.process(),
        settings.dataCentre(),
        settings.processorCores(),
        configuration.revision(),
        crashes.digest(),
        quotas.digest(),
        clock.upper(),
        departures.digest(),
        reach.ownRelayAddress(),
        reach.own());
  }

  private void followRegistryDirectly() {
    log.write("holder_silent", "holder={}", holderAddress.orElse("-"));
    fallbackFollower.open();
    followsHolder = false;
    view.invalidateTargets();
  }

  /**
   * Handles the answer of the holder to a hello. The time that the heartbeat was in transit is
   * unknown, so its content is taken to be as old as the hello.
   */
  private void onHeartbeat(PeerChannel holder, FleetHeartbeat heartbeat) {
    UpperTime helloSent = new UpperTime(heartbeat.helloSentMs());
    UpperTime confirmed = helloSent.minusMs(heartbeat.termAgeMs());
    if (coordinator.isPresent()
        || !terms.onHeard(heartbeat.term(), holder.peerAddress(), confirmed)) {
      return;
    }
    deputies.onNamed(heartbeat.deputies());
    state.setRelayPeers(heartbeat.relays(), helloSent);
    crashes.onHolderAndDeputies(holderAddress, deputies.others());
    quotas.onHolderAndDeputies(
        holderAddress, deputies.others(), Math.max(1, heartbeat.processes()));
    departures.onHolderAndDeputies(holderAddress, deputies.others());
    state.setMovesPossible(heartbeat.termAgeMs() <= FRESH_HEARTBEAT_AGE_MS, clock.nowMs());
    if (Math.max(heartbeat.termAgeMs(), heartbeat.configurationAgeMs()) <= FRESH_HEARTBEAT_AGE_MS) {
      lastFreshHeartbeat = clock.upper();
    }
    if (heartbeat.registryAgeMs() <= STALE_REGISTRY_MS) {
      holderHeard = clock.upper();
    }
    recordStoreAnsweredOthers(helloSent, heartbeat.registryAgeMs());
    confirmTargets(heartbeat, helloSent);
    configuration.onHeard(
        heartbeat.configurationRevision(), helloSent.minusMs(heartbeat.configurationAgeMs()));
    if (deputies.mustFollowStore()) {
      // A holder that has just started may not see in the store what was removed before, and its
      // older revision would confirm nothing to others.
      sendMissedConfiguration(holder, heartbeat.configurationRevision());
    }
    if (state.current().processes() != heartbeat.processes()) {
      state.update(snapshot -> snapshot.withProcesses(Math.max(1, heartbeat.processes())));
    }
  }

  /** Sends the configuration to a gateway that should have it by now. */
  private void sendMissedConfiguration(PeerChannel peer, long knownRevision) {
    configuration
        .missingFrom(knownRevision)
        .ifPresent(value -> peer.send(new ConfigurationUpdate(value.revision(), value.value())));
  }

  /**
   * Confirms the known targets if this gateway has received every change that the holder has sent.
   * A gateway that follows the registry itself returns to the holder once the state of the holder
   * is nearly as new.
   */
  private void confirmTargets(FleetHeartbeat heartbeat, UpperTime helloSent) {
    TargetsPush received = view.targets();
    boolean current =
        received.term() == heartbeat.term() && received.version() >= heartbeat.targetsVersion();
    if (!current) {
      return;
    }
    UpperTime confirmed = helloSent.minusMs(heartbeat.registryAgeMs());
    if (!followsHolder && clock.upper().sinceMs(confirmed) <= FRESH_TARGETS_MS) {
      followsHolder = true;
      fallbackFollower.close();
      installTargets();
    }
    if (followsHolder) {
      state.confirmTargets(confirmed);
    }
  }

  private void onTargetsPush(TargetsPush push) {
    if (coordinator.isEmpty() && view.apply(push) && followsHolder) {
      installTargets();
    }
  }

  private void onTargetsChange(TargetsChange change) {
    if (coordinator.isPresent()) {
      return;
    }
    if (view.apply(change)) {
      if (followsHolder) {
        installTargets();
      }
    } else if (change.version() > view.targets().version()) {
      view.invalidateTargets();
    }
  }

  private void installTargets() {
    List<FleetTarget> targets = view.targets().targets();
    state.update(snapshot -> snapshot.withTargets(targets));
  }

  private void onRoutesPush(RoutesPush push) {
    if (coordinator.isEmpty() && view.apply(push)) {
      installRoutes();
    }
  }

  private void onRoutesChange(RoutesChange change) {
    if (coordinator.isEmpty() && view.apply(change)) {
      installRoutes();
    }
  }

  private void installRoutes() {
    Map<ServiceId, KeyOwners> owners = new HashMap<>();
    for (ServiceRanges ranges : view.routes().services()) {
      owners.put(ranges.service(), new KeyOwners(ranges.ranges()));
    }
    OwnersVersion version = new OwnersVersion(view.routes().term(), view.routes().version());
    state.update(snapshot -> snapshot.withOwners(owners, version));
  }

  /**
   * Sends the configuration, the holder, the targets and the routes to a process that has just
   * started, which may get no answer from the store.
   */
  private void sendSnapshot(PeerChannel sender) {
    StoreValue known = configuration.newest().orElse(new StoreValue(new byte[0], 0));
    sender.send(
        new FleetSnapshot(
            known.revision(),
            known.value(),
            coordinator.isPresent() ? network.localAddress() : holderAddress.orElse(""),
            view.withCurrentColdTimes(
                new TargetsPush(0, 0, List.copyOf(state.current().targets()))),
            view.routes()));
  }

  /**
   * Returns whether most of the other gateways have recently sent a hello to this one, the holder.
   */
  boolean hasMajorityOfFollowers() {
    return subscribers.majorityHeardSince(clock.nowMs() - 2 * timings.helloIntervalMs());
  }

  /** Returns whether this gateway, the holder, should leave the term to one that reaches more. */
  boolean shouldYieldTerm() {
    return coordinator.isPresent()
        && reach.shouldYieldTerm(clock.nowMs(), timings.helloIntervalMs());
  }

  /**
   * Announces a new configuration revision; gateways that do not follow the store query it at once.
   */
  void announceConfiguration(long revision) {
    if (coordinator.isPresent()) {
      subscribers.sendToAll(new ConfigurationUpdate(revision, new byte[0]));
    }
  }

  private void onConfigurationUpdate(ConfigurationUpdate update) {
    if (update.configuration().length > 0) {
      configuration.onUpdate(new StoreValue(update.configuration(), update.revision()));
    } else {
      configuration.onHeard(update.revision(), UpperTime.NEVER);
    }
  }

  private void onSnapshot(FleetSnapshot received) {
    if (received.configuration().length > 0) {
      configuration.onUpdate(
          new StoreValue(received.configuration(), received.configurationRevision()));
    }
    if (coordinator.isEmpty() && holderAddress.isEmpty() && !received.holderAddress().isEmpty()) {
      setHolder(received.holderAddress());
    }
    if (state.current().targets().isEmpty()) {
      state.update(snapshot -> snapshot.withTargets(received.targets().targets()));
    }
    onRoutesPush(received.routes());
  }

  private void onHello(PeerChannel sender, FleetHello hello) {
    boolean hasNoState = hello.targetsTerm() == 0 && hello.routesTerm() == 0;
    if (hasNoState || hello.configurationRevision() == 0) {
      sendSnapshot(sender);
    }
    if (coordinator.isPresent()) {
      answerAsHolder(sender, hello, coordinator.get());
    } else {
      sender.send(
          new FollowerHeartbeat(
              terms.newest(),
              holderAddress.orElse(""),
              terms.ageMs(),
              configuration.revision(),
              configuration.ageMs(),
              hello.sentMs()));
    }
    crashes.onHello(sender, hello);
    quotas.onHello(sender, hello);
    departures.onHello(sender, hello);
    sendMissedConfiguration(sender, hello.configurationRevision());
  }

  private void answerAsHolder(PeerChannel sender, FleetHello hello, TermCoordinator holder) {
    subscribers.onHello(sender, hello, holder.term(), view, clock.nowMs());
    sender.send(
        new FleetHeartbeat(
            holder.term(),
            subscribers.count() + 1,
            clock.upper().sinceMs(holder.targetsConfirmed()),
            holder.termAgeMs(),
            configuration.revision(),
            configuration.ageMs(),
            subscribers.deputies(),
            view.targets().term() == holder.term() ? view.targets().version() : Long.MAX_VALUE,
            hello.sentMs(),
            reach.relaysFor(hello, clock.nowMs(), timings.helloIntervalMs())));
    configuration.onHeard(hello.configurationRevision(), UpperTime.NEVER);
    updateProcesses();
  }

  private void updateProcesses() {
    int processes = subscribers.count() + 1;
    if (state.current().processes() != processes) {
      state.update(snapshot -> snapshot.withProcesses(processes));
    }
  }

  @Override
  public void onTargets(long term, long version, List<FleetTarget> targets) {
    subscribers.sendToAll(view.publishTargets(term, version, targets));
  }

  @Override
  public void onRoutes(long term, long version, List<ServiceRanges> services) {
    FleetMessage change = view.publishRoutes(term, version, services);
    installRoutes();
    subscribers.sendToAll(change);
  }

  /** Applies what the store returned at start, until a holder supplies newer state. */
  private final class FirstLookListener implements StartupReader.Listener {

    @Override
    public void onTargets(List<FleetTarget> targets, UpperTime asOf) {
      if (state.targetsConfirmed().equals(UpperTime.NEVER)) {
        state.update(snapshot -> snapshot.withTargets(targets));
        state.confirmTargets(asOf);
      }
    }

    @Override
    public void onTargetsUnavailable() {
      firstListingDueMs = Optional.of(clock.nowMs());
    }

    @Override
    public void onOwners(List<ServiceRanges> owners) {
      if (view.applyStored(owners)) {
        installRoutes();
      }
    }
  }
}
