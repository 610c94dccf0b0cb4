package io.cuminvalve.gateway.control;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.LeaseTimings;
import io.cuminvalve.core.protocol.FleetHeartbeat;
import io.cuminvalve.core.protocol.FleetHello;
import io.cuminvalve.core.protocol.FleetMessage;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.quarantine.CrashTracker;
import io.cuminvalve.gateway.GatewayPorts;
import io.cuminvalve.gateway.GatewaySettings;
import io.cuminvalve.gateway.RequestHeaders;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.traffic.RoutingState;
import io.cuminvalve.gateway.traffic.SendingGateway;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.FailureHandler;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.ports.fleet.TargetRegistry;
import io.cuminvalve.testkit.time.VirtualClock;
import io.cuminvalve.testkit.time.VirtualExecutor;
import io.cuminvalve.wire.PeerChannel;
import io.cuminvalve.wire.PeerNetwork;
import io.cuminvalve.wire.PeerNetworkCounters;
import io.cuminvalve.wire.Reachability;
import io.cuminvalve.wire.RecordCodec;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;

/**
 * A gateway that follows a holder, on virtual time and without sockets: its link to the fleet and
 * its traffic up to the first byte. The test plays the other gateways.
 */
final class FollowingGateway {

  static final String HOLDER = "10.0.0.1:1";
  static final TargetId A = new TargetId("a");
  static final TargetId B = new TargetId("b");

  private static final String OWN = "10.0.0.9:1";

  final RoutingState state = new RoutingState(2);
  final SendingGateway traffic;
  final FleetLink link;
  private final VirtualClock clock;
  private final ControlThread control;
  private final ConfigurationWatch configuration;

  /** Takes what this gateway sends. */
  BiConsumer<String, PeerMessage> onSent = (address, message) -> {};

  /** What it logged, with the time. */
  final List<String> lines = new ArrayList<>();

  /** How many gateways the holder names. */
  int processes = 2;

  private long newestTerm;

  /**
   * Creates a gateway.
   *
   * @param clock the time
   * @param controlClock runs the control thread; another one than the time for a busy thread
   * @param registry its own way to the registry
   * @param firstStart whether it starts with the whole fleet, and so reads nothing first
   */
  FollowingGateway(
      VirtualClock clock, VirtualClock controlClock, TargetRegistry registry, boolean firstStart) {
    this.clock = clock;
    this.control =
        new ControlThread("test", FailureHandler.logging(), new VirtualExecutor(controlClock));
    this.traffic = new SendingGateway(state, clock);
    DecisionLog log = new DecisionLog(clock, 100, line -> lines.add(clock.nowMs() + " " + line));
    GatewayPorts ports =
        new GatewayPorts(
            new CursorStore(clock), "configuration", bytes -> null, registry, null, null);
    FleetPace pace = new FleetPace(state);
    Network network = new Network();
    this.configuration =
        new ConfigurationWatch(
            ports, state, control, clock, log, Reliance.partial(pace::confirmedMs), value -> {});
    this.link =
        new FleetLink(
            network,
            state,
            control,
            clock,
            log,
            ports,
            new RecordCodec(),
            settings(firstStart),
            configuration,
            traffic.reports(),
            pace,
            () -> {},
            new Terms(),
            new Deputies(OWN),
            new CrashTracker(0.5));
  }

  void start() {
    control.execute(configuration::start);
    control.execute(link::start);
    clock.advance(0);
  }

  /** Another gateway's message arrives; the control thread gets to it when it can. */
  void arrive(String sender, FleetMessage message) {
    control.execute(() -> link.onMessage(new Channel(sender), message));
  }

  /** Another gateway's message arrives, and the control thread gets to it at once. */
  void hear(String sender, FleetMessage message) {
    arrive(sender, message);
    clock.advance(0);
  }

  /** A beat that vouches for whatever its sender has told. */
  FleetHeartbeat beat(long term, long registryAgeMs) {
    return beat(term, registryAgeMs, 0, clock.upper().ms());
  }

  FleetHeartbeat beat(long term, long registryAgeMs, long targetsVersion, long helloSentMs) {
    return new FleetHeartbeat(
        term, processes, registryAgeMs, 0, 1, 0, List.of(OWN), targetsVersion, helloSentMs);
  }

  static FleetTarget target(TargetId id, TargetPhase phase) {
    return new FleetTarget(
        id, SendingGateway.SERVICE, "127.0.0.1:9", SendingGateway.HERE, 4, phase, 0);
  }

  private static GatewaySettings settings(boolean firstStart) {
    InetSocketAddress any = InetSocketAddress.createUnresolved("127.0.0.1", 0);
    return new GatewaySettings(
        "follower",
        "here",
        any,
        any,
        Optional.empty(),
        "/ready",
        "127.0.0.1",
        0,
        new RequestHeaders("attempt", "deadline", "target", "key"),
        false,
        1,
        firstStart,
        new LeaseTimings(4_000, 10_000, 1_000, 2_000, 700, 100, 0.02, 100, 9_500),
        0.2,
        5,
        1_000,
        2_300,
        10_000,
        List.of());
  }

  /** As the lease of the term does it, without the store. */
  private final class Terms implements TermKnowledge {

    @Override
    public boolean onHeard(long term, String holderAddress, UpperTime at) {
      if (term < newestTerm) {
        return false;
      }
      if (term > newestTerm) {
        newestTerm = term;
        link.setHolder(holderAddress);
      }
      return true;
    }

    @Override
    public long newest() {
      return newestTerm;
    }

    @Override
    public long ageMs() {
      return 0;
    }
  }

  private final class Channel implements PeerChannel {

    private final String peer;

    Channel(String peer) {
      this.peer = peer;
    }

    @Override
    public String peerAddress() {
      return peer;
    }

    @Override
    public boolean send(PeerMessage message) {
      onSent.accept(peer, message);
      return true;
    }
  }

  private final class Network implements PeerNetwork {

    @Override
    public String localAddress() {
      return OWN;
    }

    @Override
    public void send(String peerAddress, PeerMessage message) {
      onSent.accept(peerAddress, message);
    }

    @Override
    public void connect(String peerAddress) {}

    @Override
    public Reachability reachability(String peerAddress) {
      return Reachability.CONNECTED;
    }

    @Override
    public CompletableFuture<Reachability> probe(String peerAddress) {
      return CompletableFuture.completedFuture(Reachability.CONNECTED);
    }

    @Override
    public PeerNetworkCounters counters() {
      return new PeerNetworkCounters(0, 0, 0, 0, 0, 0);
    }

    @Override
    public void retain(Set<String> peerAddresses) {}

    @Override
    public void close() {}
  }

  /** Follows the registry as a holder does, and answers hellos as it does. */
  static final class Holder {

    private final VirtualClock clock;
    private final FollowingGateway follower;
    private final String address;
    private final long term;
    private final RegistryFollower registry;
    private final FleetView view = new FleetView();
    private final Subscribers subscribers = new Subscribers();
    private final PeerChannel channel;

    /** How long a message to the follower takes on its way. */
    private long delayMs = 1;

    /** The next changes of targets are lost on their way. */
    private int lostChanges;

    private boolean ended;

    Holder(
        VirtualClock clock,
        FollowingGateway follower,
        TargetRegistry reader,
        String address,
        long term) {
      this.clock = clock;
      this.follower = follower;
      this.address = address;
      this.term = term;
      this.channel =
          new PeerChannel() {
            @Override
            public String peerAddress() {
              return OWN;
            }

            @Override
            public boolean send(PeerMessage message) {
              tell((FleetMessage) message);
              return true;
            }
          };
      ControlThread control =
          new ControlThread("holder", FailureHandler.logging(), new VirtualExecutor(clock));
      DecisionLog log = new DecisionLog(clock, 100, line -> {});
      this.registry =
          new RegistryFollower(
              reader,
              control,
              clock,
              log,
              List.copyOf(follower.state.current().targets()),
              follower.state.targetsConfirmed(),
              this::onTargets);
      BiConsumer<String, PeerMessage> others = follower.onSent;
      follower.onSent =
          (to, message) -> {
            others.accept(to, message);
            onMessage(to, message);
          };
      control.execute(registry::start);
    }

    /** It says nothing more. */
    void end() {
      ended = true;
    }

    void setDelayMs(long ms) {
      delayMs = ms;
    }

    void loseNextChanges(int count) {
      lostChanges = count;
    }

    /** Says at once that it holds the term, as it does when it has taken it. */
    void sayItHoldsTheTerm() {
      tell(beat(clock.upper().ms()));
    }

    private FleetHeartbeat beat(long helloSentMs) {
      boolean hasTold = view.targets().term() == term;
      long version = hasTold ? view.targets().version() : Long.MAX_VALUE;
      return follower.beat(term, registry.ageMs(), version, helloSentMs);
    }

    private void onTargets() {
      FleetMessage news =
          view.publishTargets(term, registry.register().version(), registry.register().all());
      if (lostChanges > 0) {
        lostChanges--;
      } else {
        subscribers.tell(news);
      }
    }

    private void onMessage(String to, PeerMessage message) {
      if (message instanceof FleetHello hello && to.equals(address)) {
        clock.schedule(
            1,
            () -> {
              subscribers.onHello(channel, hello, term, view, clock.nowMs());
              tell(beat(hello.sentMs()));
            });
      }
    }

    private void tell(FleetMessage message) {
      if (!ended) {
        clock.schedule(delayMs, () -> follower.arrive(address, message));
      }
    }
  }
}
