package io.cuminvalve.gateway.control;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.protocol.FleetBeat;
import io.cuminvalve.core.protocol.FleetHello;
import io.cuminvalve.core.protocol.FleetMessage;
import io.cuminvalve.core.protocol.FleetNews;
import io.cuminvalve.core.protocol.HolderEnded;
import io.cuminvalve.core.protocol.KeyLoadReport;
import io.cuminvalve.core.protocol.LeaseLeft;
import io.cuminvalve.core.protocol.LeasesLeft;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.protocol.RoutesPush;
import io.cuminvalve.core.protocol.ServiceRanges;
import io.cuminvalve.core.protocol.TargetReplaced;
import io.cuminvalve.core.protocol.TargetTimesReport;
import io.cuminvalve.core.protocol.TargetsPush;
import io.cuminvalve.gateway.GatewayPorts;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.traffic.KeyOwners;
import io.cuminvalve.gateway.traffic.RoutingState;
import io.cuminvalve.gateway.traffic.TrafficReports;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.ports.store.StoreValue;
import io.cuminvalve.wire.PeerChannel;
import io.cuminvalve.wire.PeerNetwork;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

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

  private static final long HELLO_MS = 300;

  /** Pause between two reports of load: a hot key has to be noticed within a second. */
  private static final long KEY_WORK_MS = 150;

  /** Pause between two reports of times: the speed of a target seldom changes. */
  private static final long TARGET_TIMES_MS = 1_000;

  /** Three hellos without an answer. */
  private static final long SILENT_MS = 950;

  /** What the holder knows of the targets is too old to rely on: two paces and some. */
  private static final long STALE_REGISTRY_MS = 1_800;

  /** The store usually answers a process that starts within a few milliseconds. */
  private static final long ASK_SEEDS_AFTER_MS = 500;

  /** After this long without a hello a gateway no longer counts. */
  private static final long GONE_MS = 2_000;

  private final PeerNetwork network;
  private final RoutingState state;
  private final ControlThread control;
  private final MillisClock clock;
  private final DecisionLog log;
  private final GatewayPorts ports;
  private final String process;
  private final TrafficReports reports;
  private final Runnable onReplaced;
  private final ConfigurationWatch configuration;
  private final List<String> seedPeers;
  private final long startedMs;
  private final Map<String, Subscriber> subscribers = new HashMap<>();
  private Optional<HolderDuties> duties = Optional.empty();
  private Optional<String> holderAddress = Optional.empty();
  private Optional<RegistryFollower> ownFollower = Optional.empty();
  private long heardMs;
  private long targetsTerm;
  private long targetsVersion;
  private long routesTerm;
  private long routesVersion;
  private TargetsPush lastTargets = new TargetsPush(0, 0, List.of());
  private Optional<String> formerHolder = Optional.empty();
  private LeasesLeft lastLeases = new LeasesLeft(0, List.of());
  private long lastLeasesMs;
  private LeasesLeft formerLeases = new LeasesLeft(0, List.of());
  private long formerLeasesMs;
  private boolean leasesLeftKnown;
  private RoutesPush lastRoutes = new RoutesPush(0, 0, List.of());

  FleetLink(
      PeerNetwork network,
      RoutingState state,
      ControlThread control,
      MillisClock clock,
      DecisionLog log,
      GatewayPorts ports,
      String process,
      List<String> seedPeers,
      ConfigurationWatch configuration,
      TrafficReports reports,
      Runnable onReplaced) {
    this.network = network;
    this.state = state;
    this.control = control;
    this.clock = clock;
    this.log = log;
    this.ports = ports;
    this.process = process;
    this.reports = reports;
    this.onReplaced = onReplaced;
    this.configuration = configuration;
    this.seedPeers = seedPeers;
    this.startedMs = clock.nowMs();
    this.heardMs = clock.nowMs();
  }

  void start() {
    control.scheduleRepeatedly(this::onPace, HELLO_MS);
    control.scheduleRepeatedly(this::reportKeyWork, KEY_WORK_MS);
    control.scheduleRepeatedly(this::reportTargetTimes, TARGET_TIMES_MS);
  }

  /** This gateway holds the term now, or no longer. */
  void setDuties(Optional<HolderDuties> now) {
    heardMs = clock.nowMs();
    duties.ifPresent(this::tellLeasesLeft);
    duties = now;
    if (now.isPresent()) {
      leasesLeftKnown = now.get().onLeasesLeft(formerLeases, formerLeasesMs);
      formerHolder = holderAddress;
      holderAddress = Optional.empty();
      askForLeasesLeft();
      closeOwnFollower();
    } else {
      subscribers.clear();
    }
  }

  void setHolder(String address) {
    if (duties.isEmpty()) {
      holderAddress = Optional.of(address);
      heardMs = clock.nowMs();
      sayHello();
    }
  }

  void onMessage(PeerChannel sender, PeerMessage message) {
    if (message instanceof FleetHello hello) {
      onHello(sender, hello);
    } else if (message instanceof FleetNews news) {
      onNews(news);
    } else if (message instanceof HolderEnded ended) {
      onHolderEnded(sender, ended);
    } else if (message instanceof LeasesLeft left) {
      onLeasesLeft(left);
    } else if (message instanceof KeyLoadReport
        || message instanceof TargetTimesReport
        || message instanceof TargetReplaced) {
      duties.ifPresent(d -> d.onReport(message));
    } else if (message instanceof FleetBeat beat) {
      onBeat(beat);
    } else if (message instanceof TargetsPush push) {
      onTargetsPush(push);
    } else if (message instanceof RoutesPush push) {
      onRoutesPush(push);
    }
  }

  private void onPace() {
    if (duties.isPresent()) {
      askForLeasesLeft();
      dropSilentSubscribers();
      return;
    }
    sayHello();
    askSeeds();
    boolean silent = clock.nowMs() - heardMs > SILENT_MS;
    if (silent && ownFollower.isEmpty()) {
      openOwnFollower();
    }
  }

  /** While nothing is known, some gateways of the fleet are asked; the store may be silent. */
  private void askSeeds() {
    boolean lost = state.current().configuration().isEmpty() || holderAddress.isEmpty();
    if (lost && clock.nowMs() - startedMs > ASK_SEEDS_AFTER_MS) {
      seedPeers.forEach(address -> network.send(address, hello()));
    }
  }

  private FleetHello hello() {
    return new FleetHello(process, targetsTerm, targetsVersion, routesTerm, routesVersion);
  }

  private void reportKeyWork() {
    reports.takeKeyWork().forEach(this::report);
    reports.takeReplacedTargets().forEach(this::report);
  }

  private void reportTargetTimes() {
    report(reports.takeTargetTimes());
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

  private void openOwnFollower() {
    log.write("holder_silent", "holder={}", holderAddress.orElse("-"));
    RegistryFollower follower =
        new RegistryFollower(
            ports.registry(),
            control,
            clock,
            log,
            List.copyOf(state.current().targets()),
            this::onOwnTargets);
    ownFollower = Optional.of(follower);
    targetsTerm = 0;
    follower.start();
  }

  private void closeOwnFollower() {
    ownFollower.ifPresent(RegistryFollower::close);
    ownFollower = Optional.empty();
  }

  private void onOwnTargets() {
    ownFollower.ifPresent(
        follower -> {
          List<FleetTarget> targets = follower.register().all();
          state.update(snapshot -> snapshot.withTargets(targets));
        });
  }

  private void onBeat(FleetBeat beat) {
    if (duties.isPresent()) {
      return;
    }
    if (beat.registryAgeMs() <= STALE_REGISTRY_MS) {
      heardMs = clock.nowMs();
    }
    if (state.current().processes() != beat.processes()) {
      state.update(snapshot -> snapshot.withProcesses(Math.max(1, beat.processes())));
    }
  }

  private void onTargetsPush(TargetsPush push) {
    if (duties.isPresent() || push.term() < routesTerm) {
      return;
    }
    lastTargets = push;
    targetsTerm = push.term();
    targetsVersion = push.version();
    if (clock.nowMs() - heardMs <= SILENT_MS) {
      closeOwnFollower();
      state.update(snapshot -> snapshot.withTargets(push.targets()));
    }
  }

  private void onRoutesPush(RoutesPush push) {
    boolean older =
        push.term() < routesTerm || (push.term() == routesTerm && push.version() <= routesVersion);
    if (duties.isPresent() || older) {
      return;
    }
    lastRoutes = push;
    routesTerm = push.term();
    routesVersion = push.version();
    install(push.services());
  }

  private void install(List<ServiceRanges> services) {
    Map<ServiceId, KeyOwners> owners = new HashMap<>();
    for (ServiceRanges ranges : services) {
      owners.put(ranges.service(), new KeyOwners(ranges.ranges()));
    }
    state.update(snapshot -> snapshot.withOwners(owners));
  }

  /** A process that starts while the store is silent learns here what it needs. */
  private void tellNews(PeerChannel sender) {
    StoreValue known = configuration.newest().orElse(new StoreValue(new byte[0], 0));
    sender.send(
        new FleetNews(
            known.revision(),
            known.value(),
            duties.isPresent() ? network.localAddress() : holderAddress.orElse(""),
            lastTargets,
            lastRoutes));
  }

  private void onNews(FleetNews news) {
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

  /** Whoever is next need not wait for more than this, even if this process is gone by then. */
  private void tellLeasesLeft(HolderDuties ended) {
    lastLeases = new LeasesLeft(ended.term(), ended.leasesLeft());
    lastLeasesMs = clock.nowMs();
    subscribers.values().forEach(subscriber -> subscriber.channel().send(lastLeases));
  }

  private void onLeasesLeft(LeasesLeft left) {
    long nowMs = clock.nowMs();
    if (left.term() > formerLeases.term()) {
      formerLeases = left;
      formerLeasesMs = nowMs;
    }
    duties.ifPresent(d -> leasesLeftKnown |= d.onLeasesLeft(left, nowMs));
  }

  /**
   * Asks the holder before, and all others, which of its leases may be in force, until one knows.
   *
   * <p>What they tell may free keys many seconds earlier. The holder before stops at once, if it
   * still runs.
   */
  private void askForLeasesLeft() {
    if (leasesLeftKnown) {
      return;
    }
    HolderEnded question = new HolderEnded(duties.orElseThrow().term());
    formerHolder.ifPresent(address -> network.send(address, question));
    subscribers.values().forEach(subscriber -> subscriber.channel().send(question));
  }

  /** The term of an earlier holder is over, perhaps of this process: then it stops at once. */
  private void onHolderEnded(PeerChannel sender, HolderEnded ended) {
    if (duties.isPresent() && duties.get().term() < ended.term()) {
      onReplaced.run();
    }
    boolean ownIsNewer = lastLeases.term() > formerLeases.term();
    LeasesLeft known = ownIsNewer ? lastLeases : formerLeases;
    long pastMs = clock.nowMs() - (ownIsNewer ? lastLeasesMs : formerLeasesMs);
    if (known.term() == 0 || known.term() >= ended.term()) {
      return;
    }
    List<LeaseLeft> left = new ArrayList<>();
    for (LeaseLeft lease : known.leases()) {
      if (lease.leftMs() > pastMs) {
        left.add(
            new LeaseLeft(
                lease.service(),
                lease.firstKey(),
                lease.lastKey(),
                lease.target(),
                lease.leftMs() - pastMs));
      }
    }
    sender.send(new LeasesLeft(known.term(), left));
  }

  private void onHello(PeerChannel sender, FleetHello hello) {
    if (duties.isEmpty() || hello.targetsTerm() == 0) {
      tellNews(sender);
    }
    if (duties.isEmpty()) {
      return;
    }
    long nowMs = clock.nowMs();
    subscribers.put(hello.process(), new Subscriber(sender, nowMs));
    long term = duties.get().term();
    sender.send(new FleetBeat(term, subscribers.size() + 1, duties.get().registryAgeMs()));
    boolean lacksTargets =
        hello.targetsTerm() != term || hello.targetsVersion() != lastTargets.version();
    if (lacksTargets && lastTargets.term() == term) {
      sender.send(lastTargets);
    }
    boolean lacksRoutes =
        hello.routesTerm() != term || hello.routesVersion() != lastRoutes.version();
    if (lacksRoutes && lastRoutes.term() == term) {
      sender.send(lastRoutes);
    }
    updateProcesses();
  }

  private void dropSilentSubscribers() {
    long nowMs = clock.nowMs();
    subscribers.values().removeIf(subscriber -> nowMs - subscriber.heardMs() > GONE_MS);
    updateProcesses();
  }

  private void updateProcesses() {
    int processes = subscribers.size() + 1;
    if (state.current().processes() != processes) {
      state.update(snapshot -> snapshot.withProcesses(processes));
    }
  }

  @Override
  public void onTargets(long term, long version, List<FleetTarget> targets) {
    lastTargets = new TargetsPush(term, version, targets);
    subscribers.values().forEach(subscriber -> subscriber.channel().send(lastTargets));
  }

  @Override
  public void onRoutes(long term, long version, List<ServiceRanges> services) {
    lastRoutes = new RoutesPush(term, version, services);
    routesTerm = term;
    routesVersion = version;
    install(services);
    subscribers.values().forEach(subscriber -> subscriber.channel().send(lastRoutes));
  }

  /** A gateway that said hello. */
  private record Subscriber(PeerChannel channel, long heardMs) {}
}
