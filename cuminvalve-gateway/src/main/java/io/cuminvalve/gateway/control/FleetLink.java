package io.cuminvalve.gateway.control;

import io.cuminvalve.core.fleet.FleetTarget;
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
import io.cuminvalve.core.protocol.TargetLatencyReport;
import io.cuminvalve.core.protocol.TargetReplaced;
import io.cuminvalve.core.protocol.TargetRest;
import io.cuminvalve.core.protocol.TargetRestsReport;
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
 * Keeps this gateway and the holder of the term in touch.
 *
 * <p>Every gateway says hello to the holder at a pace; the holder answers with a beat and sends the
 * targets and the owners whenever they change. A gateway that hears nothing for a while follows the
 * registry of targets itself. All methods are for the control thread.
 *
 * @since 0.2
 */
final class FleetLink implements HolderDuties.Audience {

  /** Pause between two reports of load: a hot key has to be noticed within a second. */
  private static final long KEY_WORK_MS = 150;

  /** Pause between two reports of times: the speed of a target seldom changes. */
  private static final long TARGET_TIMES_MS = 1_000;

  /** A holder whose knowledge of the targets is older is not heard: a call, its pace and some. */
  static final long STALE_REGISTRY_MS = 1_300;

  /**
   * Older knowledge of the targets is looked up here: two calls of the holder to a slow store, its
   * pause, the longest pause between hellos; what is left of 1.95 s is for the look.
   */
  private static final long OUTDATED_TARGETS_MS = 1_500;

  /** A holder that knows nothing newer is not followed again. */
  private static final long FRESH_TARGETS_MS = 1_100;

  /** Pause between two looks at the age of what is known. */
  private static final long CHECK_MS = 50;

  /** In a wide fleet the registry takes several calls; a holder that is there may be faster. */
  private static final long LIST_AFTER_MS = 60;

  /** Pause between two questions to deputies: a few fit into the time for which a beat counts. */
  private static final long ASK_DEPUTIES_MS = 300;

  /** A beat may be so late. */
  private static final long BEAT_DELAY_MS = 150;

  /** A holder that the store answers confirms what it knows more often than this. */
  private static final long FRESH_MS = 1_200;

  /**
   * Whom the store has answered so lately it does not leave without answers in general. Less than
   * the age at which knowledge of targets forbids sends, so that they go on if it is away.
   */
  private static final long ANSWERED_LATELY_MS = 1_700;

  /** The store usually answers a process that starts within a few milliseconds. */
  private static final long ASK_SEEDS_AFTER_MS = 500;

  private final PeerNetwork network;
  private final RoutingState state;
  private final ControlThread control;
  private final MillisClock clock;
  private final DecisionLog log;
  private final GatewayPorts ports;
  private final GatewaySettings settings;
  private final FirstLook firstLook;
  private final TrafficReports reports;
  private final FleetPace pace;
  private final TermKnowledge terms;
  private final Deputies deputies;
  private final ConfigurationWatch configuration;
  private final long startedMs;
  private final Subscribers subscribers = new Subscribers();
  private final LeaseInheritance inheritance;
  private final CrashLink crashes;
  private final QuotaLink quotas;
  private final DepartureLink departures;
  private final OwnRegistryLook ownLook;
  private final FleetView view = new FleetView();
  private volatile Optional<HolderDuties> duties = Optional.empty();
  private Optional<String> holderAddress = Optional.empty();
  private UpperTime heard;
  private UpperTime freshBeat;

  /** When the store last answered another gateway, as far as is known. */
  private volatile UpperTime othersAnswered = UpperTime.NEVER;

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
      FleetPace pace,
      Runnable onReplaced,
      TermKnowledge terms,
      Deputies deputies,
      CrashTracker ledger) {
    this.network = network;
    this.state = state;
    this.control = control;
    this.clock = clock;
    this.log = log;
    this.ports = ports;
    this.settings = settings;
    this.firstLook = new FirstLook(ports, control, clock, log, codec, new FirstKnowledge());
    this.reports = reports;
    this.pace = pace;
    this.inheritance = new LeaseInheritance(network, subscribers, clock, onReplaced);
    this.crashes =
        new CrashLink(
            network, subscribers, ports.store(), codec, control, clock, log, reports, ledger);
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
            () -> duties.ifPresent(HolderDuties::onDepartures));
    this.ownLook = new OwnRegistryLook(ports, state, control, clock, log);
    this.terms = terms;
    this.deputies = deputies;
    this.configuration = configuration;
    this.startedMs = clock.nowMs();
    this.heard = clock.upper();
    this.freshBeat = clock.upper();
  }

  void start() {
    crashes.start();
    quotas.start();
    departures.start();
    state.watch(configuration::confirmed, pace::configurationMaxAgeMs, this::isStoreSilent);
    if (!settings.firstStart()) {
      firstLook.readOwners();
      control.schedule(this::listIfUnaware, LIST_AFTER_MS);
    }
    repeat(this::onPace, pace::helloMs);
    repeat(this::checkAge, () -> CHECK_MS);
    repeat(this::askDeputies, () -> ASK_DEPUTIES_MS);
    repeat(this::reportKeyWork, () -> pace.widened(KEY_WORK_MS));
    repeat(this::reportTargetTimes, () -> pace.widened(TARGET_TIMES_MS));
  }

  private void listIfUnaware() {
    if (state.targetsConfirmed().equals(UpperTime.NEVER)) {
      firstListingDueMs = Optional.of(clock.nowMs() + RegistryFollower.SILENT_AFTER_MS);
      firstLook.listTargets();
    }
  }

  private void repeat(Runnable task, LongSupplier pauseMs) {
    control.schedule(
        () -> {
          repeat(task, pauseMs);
          task.run();
        },
        pauseMs.getAsLong());
  }

  /** This gateway holds the term now, or no longer. */
  void setDuties(Optional<HolderDuties> now) {
    heard = clock.upper();
    followsHolder = false;
    duties.ifPresent(inheritance::onLost);
    duties = now;
    if (now.isPresent()) {
      Optional<String> holderBefore = holderAddress;
      holderAddress = Optional.empty();
      inheritance.onGained(now.get(), holderBefore);
      ownLook.close();
      crashes.onGained();
      quotas.onGained();
    } else {
      crashes.onLost();
      quotas.onLost();
      subscribers.clear();
    }
  }

  void setHolder(String address) {
    if (duties.isEmpty()) {
      holderAddress = Optional.of(address);
      heard = clock.upper();
      sayHello();
    }
  }

  void onMessage(PeerChannel sender, PeerMessage message) {
    if (message instanceof FleetHello hello) {
      onHello(sender, hello);
    } else if (message instanceof FleetSnapshot news) {
      onNews(news);
    } else if (message instanceof TermSuperseded ended) {
      inheritance.onHolderEnded(sender, ended);
    } else if (message instanceof RemainingLeases left) {
      inheritance.onLeasesLeft(left);
    } else if (message instanceof KeyLoadReport
        || message instanceof TargetLatencyReport
        || message instanceof TargetReplaced
        || message instanceof TargetRestsReport) {
      duties.ifPresent(d -> d.onReport(message));
    } else if (message instanceof FleetHeartbeat beat) {
      onBeat(sender, beat);
    } else if (message instanceof FollowerHeartbeat beat) {
      onFollowerBeat(beat);
    } else if (message instanceof ConfigurationUpdate news) {
      onConfigurationNews(news);
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

  private void onPace() {
    if (duties.isPresent()) {
      inheritance.ask();
      crashes.onConfidants(Optional.empty(), subscribers.deputies());
      quotas.onConfidants(Optional.empty(), subscribers.deputies(), subscribers.count() + 1);
      departures.onConfidants(Optional.empty(), subscribers.deputies());
      state.noteMoves(duties.get().termAgeMs() <= FRESH_MS, clock.nowMs());
      subscribers.dropSilent(clock.nowMs(), pace.helloMs());
      updateProcesses();
      return;
    }
    sayHello();
    askSeeds();
    boolean silent = clock.upper().sinceMs(heard) > pace.silentMs();
    if (silent && !ownLook.isOpen()) {
      lookOneself();
    }
  }

  /**
   * What is known of the targets must not grow old unnoticed, for whatever reason: the holder is
   * gone, or cut off, or a change that it told was lost.
   */
  private void checkAge() {
    if (duties.isPresent()) {
      state.confirmTargets(duties.get().targetsConfirmed());
      return;
    }
    ownLook.confirmTargets();
    boolean unaware = state.targetsConfirmed().equals(UpperTime.NEVER);
    boolean outdated = clock.upper().sinceMs(state.targetsConfirmed()) > OUTDATED_TARGETS_MS;
    if (outdated && !unaware && !ownLook.isOpen()) {
      lookOneself();
    }
  }

  /**
   * Tells whether the store leaves the fleet without an answer, as far as this gateway knows. One
   * that it refuses alone, or that gave its calls up by itself, has to hear from others. For any
   * thread.
   */
  private boolean isStoreSilent() {
    return isOwnWaySilent() && clock.upper().sinceMs(othersAnswered) > ANSWERED_LATELY_MS;
  }

  private boolean isOwnWaySilent() {
    Optional<HolderDuties> held = duties;
    if (held.isPresent()) {
      return held.get().isStoreSilent();
    }
    boolean unaware = state.targetsConfirmed().equals(UpperTime.NEVER);
    return ownLook.isSilent()
        || (unaware && firstListingDueMs.filter(due -> clock.nowMs() >= due).isPresent());
  }

  /** This host was suspended: the holder and its deputies are asked at once. */
  void onWoken() {
    onPace();
    askDeputies();
  }

  /** While nothing is known, some gateways of the fleet are asked; the store may be silent. */
  private void askSeeds() {
    boolean lost = state.current().configuration().isEmpty() || holderAddress.isEmpty();
    if (lost && clock.nowMs() - startedMs > ASK_SEEDS_AFTER_MS) {
      settings.seedPeers().forEach(address -> network.send(address, hello()));
    }
  }

  /** The holder has missed a beat, or the store does not answer it: others may know more. */
  private void askDeputies() {
    boolean overdue = clock.upper().sinceMs(freshBeat) > pace.helloMs() + BEAT_DELAY_MS;
    if (duties.isEmpty() && overdue) {
      deputies.next().forEach(address -> network.send(address, hello()));
    }
  }

  private void onFollowerBeat(FollowerHeartbeat beat) {
    if (duties.isPresent()) {
      return;
    }
    UpperTime asked = new UpperTime(beat.helloSentMs());
    noteOthersAnswered(asked, Math.min(beat.termAgeMs(), beat.configurationAgeMs()));
    configuration.onHeard(beat.configurationRevision(), asked.minusMs(beat.configurationAgeMs()));
    terms.onHeard(beat.term(), beat.holderAddress(), asked.minusMs(beat.termAgeMs()));
  }

  private void noteOthersAnswered(UpperTime asked, long ageMs) {
    othersAnswered = othersAnswered.latest(asked.minusMs(ageMs));
  }

  private void reportKeyWork() {
    reports.takeKeyWork().forEach(this::report);
    reports.takeReplacedTargets().forEach(this::report);
    reportRests(reports.takeBegunRestsMs());
  }

  private void reportTargetTimes() {
    report(reports.takeTargetTimes());
    reportRests(reports.restsMs());
  }

  private void reportRests(Map<TargetId, Long> leftMs) {
    if (!leftMs.isEmpty()) {
      List<TargetRest> rests = new ArrayList<>();
      leftMs.forEach((target, restMs) -> rests.add(new TargetRest(target, restMs)));
      report(new TargetRestsReport(settings.process(), rests));
    }
  }

  private void report(FleetMessage measured) {
    if (duties.isPresent()) {
      duties.get().onReport(measured);
    } else {
      holderAddress.ifPresent(address -> network.send(address, measured));
    }
  }

  private void sayHello() {
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
        departures.digest());
  }

  private void lookOneself() {
    log.write("holder_silent", "holder={}", holderAddress.orElse("-"));
    ownLook.open();
    followsHolder = false;
    view.distrustTargets();
  }

  /**
   * Takes the holder's answer to a hello. How long it was under way is not known: it is as new as
   * the hello.
   */
  private void onBeat(PeerChannel holder, FleetHeartbeat beat) {
    UpperTime asked = new UpperTime(beat.helloSentMs());
    UpperTime confirmed = asked.minusMs(beat.termAgeMs());
    if (duties.isPresent() || !terms.onHeard(beat.term(), holder.peerAddress(), confirmed)) {
      return;
    }
    deputies.onNamed(beat.deputies());
    crashes.onConfidants(holderAddress, deputies.others());
    quotas.onConfidants(holderAddress, deputies.others(), Math.max(1, beat.processes()));
    departures.onConfidants(holderAddress, deputies.others());
    state.noteMoves(beat.termAgeMs() <= FRESH_MS, clock.nowMs());
    if (Math.max(beat.termAgeMs(), beat.configurationAgeMs()) <= FRESH_MS) {
      freshBeat = clock.upper();
    }
    if (beat.registryAgeMs() <= STALE_REGISTRY_MS) {
      heard = clock.upper();
    }
    noteOthersAnswered(asked, beat.registryAgeMs());
    confirmTargets(beat, asked);
    configuration.onHeard(beat.configurationRevision(), asked.minusMs(beat.configurationAgeMs()));
    if (state.current().processes() != beat.processes()) {
      state.update(snapshot -> snapshot.withProcesses(Math.max(1, beat.processes())));
    }
  }

  /**
   * The holder's word confirms only the targets that it has told. A gateway that looks itself
   * follows the holder again once that knows nearly as much.
   */
  private void confirmTargets(FleetHeartbeat beat, UpperTime asked) {
    TargetsPush told = view.targets();
    boolean current = told.term() == beat.term() && told.version() >= beat.targetsVersion();
    if (!current) {
      return;
    }
    UpperTime confirmed = asked.minusMs(beat.registryAgeMs());
    if (!followsHolder && clock.upper().sinceMs(confirmed) <= FRESH_TARGETS_MS) {
      followsHolder = true;
      ownLook.close();
      installTargets();
    }
    if (followsHolder) {
      state.confirmTargets(confirmed);
    }
  }

  private void onTargetsPush(TargetsPush push) {
    if (duties.isEmpty() && view.take(push) && followsHolder) {
      installTargets();
    }
  }

  private void onTargetsChange(TargetsChange change) {
    if (duties.isPresent()) {
      return;
    }
    if (view.take(change)) {
      if (followsHolder) {
        installTargets();
      }
    } else if (change.version() > view.targets().version()) {
      view.distrustTargets();
    }
  }

  private void installTargets() {
    List<FleetTarget> targets = view.targets().targets();
    state.update(snapshot -> snapshot.withTargets(targets));
  }

  private void onRoutesPush(RoutesPush push) {
    if (duties.isEmpty() && view.take(push)) {
      installRoutes();
    }
  }

  private void onRoutesChange(RoutesChange change) {
    if (duties.isEmpty() && view.take(change)) {
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

  /** A process that starts while the store is silent learns here what it needs. */
  private void tellNews(PeerChannel sender) {
    StoreValue known = configuration.newest().orElse(new StoreValue(new byte[0], 0));
    sender.send(
        new FleetSnapshot(
            known.revision(),
            known.value(),
            duties.isPresent() ? network.localAddress() : holderAddress.orElse(""),
            new TargetsPush(0, 0, List.copyOf(state.current().targets())),
            view.routes()));
  }

  /** Tells whether most of the other gateways have lately said hello to this one, the holder. */
  boolean isFollowedByMost() {
    return subscribers.mostHeardSince(clock.nowMs() - 2 * pace.helloMs());
  }

  /** The configuration changed: whoever does not hear of it from the store looks again at once. */
  void tellConfiguration(long revision) {
    if (duties.isPresent()) {
      subscribers.tell(new ConfigurationUpdate(revision, new byte[0]));
    }
  }

  private void onConfigurationNews(ConfigurationUpdate news) {
    if (news.configuration().length > 0) {
      configuration.onNews(new StoreValue(news.configuration(), news.revision()));
    } else {
      configuration.onHeard(news.revision(), UpperTime.NEVER);
    }
  }

  private void onNews(FleetSnapshot news) {
    if (news.configuration().length > 0) {
      configuration.onNews(new StoreValue(news.configuration(), news.configurationRevision()));
    }
    if (duties.isEmpty() && holderAddress.isEmpty() && !news.holderAddress().isEmpty()) {
      setHolder(news.holderAddress());
    }
    if (state.current().targets().isEmpty()) {
      state.update(snapshot -> snapshot.withTargets(news.targets().targets()));
    }
    onRoutesPush(news.routes());
  }

  private void onHello(PeerChannel sender, FleetHello hello) {
    boolean knowsNothing = hello.targetsTerm() == 0 && hello.routesTerm() == 0;
    if (knowsNothing || hello.configurationRevision() == 0) {
      tellNews(sender);
    }
    if (duties.isPresent()) {
      answerAsHolder(sender, hello, duties.get());
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
    configuration
        .lackedBy(hello.configurationRevision())
        .ifPresent(value -> sender.send(new ConfigurationUpdate(value.revision(), value.value())));
  }

  private void answerAsHolder(PeerChannel sender, FleetHello hello, HolderDuties holder) {
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
            hello.sentMs()));
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
    subscribers.tell(view.publishTargets(term, version, targets));
  }

  @Override
  public void onRoutes(long term, long version, List<ServiceRanges> services) {
    FleetMessage news = view.publishRoutes(term, version, services);
    installRoutes();
    subscribers.tell(news);
  }

  /** What the store says counts only until a holder says more. */
  private final class FirstKnowledge implements FirstLook.Listener {

    @Override
    public void onTargets(List<FleetTarget> targets, UpperTime asOf) {
      if (state.targetsConfirmed().equals(UpperTime.NEVER)) {
        state.update(snapshot -> snapshot.withTargets(targets));
        state.confirmTargets(asOf);
      }
    }

    @Override
    public void onNoTargets() {
      firstListingDueMs = Optional.of(clock.nowMs());
    }

    @Override
    public void onOwners(List<ServiceRanges> owners) {
      if (view.takeStored(owners)) {
        installRoutes();
      }
    }
  }
}
