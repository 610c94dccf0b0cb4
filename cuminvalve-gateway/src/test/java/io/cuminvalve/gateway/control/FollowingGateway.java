package io.cuminvalve.gateway.control;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.RelayPeer;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.LeaseTimings;
import io.cuminvalve.core.protocol.FleetHeartbeat;
import io.cuminvalve.core.protocol.FleetHello;
import io.cuminvalve.core.protocol.FleetMessage;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.quarantine.CrashTracker;
import io.cuminvalve.core.quota.ColdBound;
import io.cuminvalve.gateway.GatewayPorts;
import io.cuminvalve.gateway.GatewaySettings;
import io.cuminvalve.gateway.RequestHeaders;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.traffic.RoutingState;
import io.cuminvalve.gateway.traffic.TrafficFixture;
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
 * A gateway that follows a holder, on virtual time and without sockets: its fleet link and its
 * request traffic up to the first byte. The test simulates the other gateways.
 */
final class FollowingGateway {

  static final String HOLDER = "10.0.0.1:1";
  static final TargetId A = new TargetId("a");
  static final TargetId B = new TargetId("b");

  private static final String OWN = "10.0.0.9:1";

  final RoutingState state = new RoutingState(2);
  final TrafficFixture traffic;
  final FleetLink link;
  private final VirtualClock clock;
  private final ControlThread control;
  private final ConfigurationWatch configuration;

  /** Receives every message that this gateway sends, with the address of its receiver. */
  BiConsumer<String, PeerMessage> onSent = (address, message) -> {};

  /** Log lines of this gateway, each with its time. */
  final List<String> lines = new ArrayList<>();

  /** Number of gateways that the holder reports in its heartbeats. */
  int processes = 2;

  private long newestTerm;

  /**
   * Creates a gateway.
   *
   * @param clock the time
   * @param controlClock clock that runs the control thread; differs from {@code clock} to simulate
   *     a busy thread
   * @param registry connection of this gateway to the registry
   * @param firstStart whether the whole fleet starts for the first time, so that the gateway reads
   *     nothing from the store first
   */
  FollowingGateway(
      VirtualClock clock, VirtualClock controlClock, TargetRegistry registry, boolean firstStart) {
    this.clock = clock;
    this.control =
        new ControlThread("test", FailureHandler.logging(), new VirtualExecutor(controlClock));
    this.traffic = new TrafficFixture(state, clock);
    DecisionLog log = new DecisionLog(clock, 100, line -> lines.add(clock.nowMs() + " " + line));
    GatewayPorts ports =
        new GatewayPorts(
            new CursorStore(clock),
            "configuration",
            bytes -> null,
            bytes -> Set.of(),
            registry,
            null,
            null);
    FleetTimings timings = new FleetTimings(state);
    Network network = new Network();
    this.configuration =
        new ConfigurationWatch(
            ports,
            state,
            control,
            clock,
            log,
            PeerReliance.partial(timings::confirmedMs),
            value -> {});
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
            timings,
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

  /** Delivers a message of another gateway; the control thread processes it once it is free. */
  void deliver(String sender, FleetMessage message) {
    control.execute(() -> link.onMessage(new Channel(sender), message));
  }

  /** Delivers a message of another gateway and processes it at once. */
  void receive(String sender, FleetMessage message) {
    deliver(sender, message);
    clock.advance(0);
  }

  /** Returns a heartbeat that confirms whatever targets its sender has sent. */
  FleetHeartbeat heartbeat(long term, long registryAgeMs) {
    return heartbeat(term, registryAgeMs, 0, clock.upper().ms());
  }

  FleetHeartbeat heartbeat(long term, long registryAgeMs, long targetsVersion, long helloSentMs) {
    return new FleetHeartbeat(
        term,
        processes,
        registryAgeMs,
        0,
        1,
        0,
        List.of(OWN),
        targetsVersion,
        helloSentMs,
        List.of());
  }

  /** Returns a heartbeat that names gateways that relay requests. */
  FleetHeartbeat heartbeatWithRelays(List<RelayPeer> relays) {
    return new FleetHeartbeat(
        1, processes, 0, 0, 1, 0, List.of(OWN), 0, clock.upper().ms(), relays);
  }

  static FleetTarget target(TargetId id, TargetPhase phase) {
    return new FleetTarget(
        id, TrafficFixture.SERVICE, "127.0.0.1:9", TrafficFixture.HERE, 4, phase, 0);
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
        0,
        new RequestHeaders("attempt", "deadline", "target", "key"),
        false,
        1,
        firstStart,
        new LeaseTimings(4_000, 10_000, 1_000, 2_000, 700, 100, 0.02, 100, 9_500),
        0,
        new ColdBound(1, 4),
        0.2,
        5,
        1_000,
        2_300,
        10_000,
        0,
        List.of());
  }

  /** Tracks the newest term as the term lease does, without the store. */
  private final class Terms implements TermView {

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

  /** Simulates a holder: follows the registry and answers hellos as a holder does. */
  static final class Holder {

    private final VirtualClock clock;
    private final FollowingGateway follower;
    private final String address;
    private final long term;
    private final RegistryFollower registry;
    private final FleetView view = new FleetView(target -> 0);
    private final Subscribers subscribers = new Subscribers();
    private final PeerChannel channel;

    /** Transit time of a message to the follower. */
    private long delayMs = 1;

    /** Number of target changes still to be lost in transit. */
    private int changesToDrop;

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
              sendToFollower((FleetMessage) message);
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
              this::publishTargetsToFollowers);
      BiConsumer<String, PeerMessage> others = follower.onSent;
      follower.onSent =
          (to, message) -> {
            others.accept(to, message);
            onMessage(to, message);
          };
      control.execute(registry::start);
    }

    /** Stops sending messages. */
    void end() {
      ended = true;
    }

    void setDelayMs(long ms) {
      delayMs = ms;
    }

    void dropNextChanges(int count) {
      changesToDrop = count;
    }

    /** Sends a heartbeat at once, as a gateway does that has just taken the term. */
    void announceTerm() {
      sendToFollower(heartbeat(clock.upper().ms()));
    }

    private FleetHeartbeat heartbeat(long helloSentMs) {
      boolean hasPublished = view.targets().term() == term;
      long version = hasPublished ? view.targets().version() : Long.MAX_VALUE;
      return follower.heartbeat(term, registry.ageMs(), version, helloSentMs);
    }

    private void publishTargetsToFollowers() {
      FleetMessage change =
          view.publishTargets(term, registry.register().version(), registry.register().all());
      if (changesToDrop > 0) {
        changesToDrop--;
      } else {
        subscribers.sendToAll(change);
      }
    }

    private void onMessage(String to, PeerMessage message) {
      if (message instanceof FleetHello hello && to.equals(address)) {
        clock.schedule(
            1,
            () -> {
              subscribers.onHello(channel, hello, term, view, clock.nowMs());
              sendToFollower(heartbeat(hello.sentMs()));
            });
      }
    }

    private void sendToFollower(FleetMessage message) {
      if (!ended) {
        clock.schedule(delayMs, () -> follower.deliver(address, message));
      }
    }
  }
}
