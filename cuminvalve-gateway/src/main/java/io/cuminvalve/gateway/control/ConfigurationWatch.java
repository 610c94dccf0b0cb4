package io.cuminvalve.gateway.control;

import io.cuminvalve.core.route.RoutingConfiguration;
import io.cuminvalve.gateway.GatewayPorts;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.traffic.RoutingState;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.ports.store.StoreValue;
import io.cuminvalve.ports.store.WatchResult;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Keeps the newest configuration in force, and never an older one after it.
 *
 * <p>The holder of the term and its deputies wait at the store; they confirm to every gateway that
 * it missed nothing, or tell what it missed. A configuration that cannot be read leaves the last
 * good one in force. All methods are for the control thread.
 *
 * @since 0.2
 */
public final class ConfigurationWatch {

  /** Pause after a call that failed: short, since a change has to be in force within 2 s. */
  private static final long RETRY_MS = 150;

  /**
   * A gateway that still lacks a configuration so long after this one has had it is sent it:
   * several times what the store takes, and half of the time in which it has to be in force.
   */
  private static final long LAG_MS = 1_000;

  /** Changes of several seconds, at dozens a second; whoever lacks more than these lags anyway. */
  private static final int MAX_REMEMBERED = 128;

  private final GatewayPorts ports;
  private final RoutingState state;
  private final MillisClock clock;
  private final DecisionLog log;
  private final KeyFollower follower;
  private final Consumer<StoreValue> onInForce;
  private boolean connected = true;
  private Optional<StoreValue> newest = Optional.empty();

  /** Since when each revision is known; the oldest are forgotten. */
  private final NavigableMap<Long, Long> sinceMs = new TreeMap<>();

  /**
   * Creates a watch that does nothing yet.
   *
   * @param ports the store and the decoder; not null
   * @param state where the configuration goes; not null
   * @param control the thread that owns the state; not null
   * @param clock the time; not null
   * @param log takes decisions; not null
   * @param reliance how far the holder and its deputies are relied on; not null
   * @param onInForce hears of each configuration that is in force from now on; not null
   */
  public ConfigurationWatch(
      GatewayPorts ports,
      RoutingState state,
      ControlThread control,
      MillisClock clock,
      DecisionLog log,
      PeerReliance reliance,
      Consumer<StoreValue> onInForce) {
    this.ports = ports;
    this.state = state;
    this.clock = clock;
    this.log = log;
    this.onInForce = onInForce;
    this.follower =
        new KeyFollower(
            ports.store(),
            ports.configurationKey(),
            control,
            clock,
            log,
            RETRY_MS,
            reliance,
            this::onResult);
  }

  /** Starts to watch. */
  public void start() {
    follower.start();
  }

  /** Ends the watch. */
  public void close() {
    follower.close();
  }

  private void onResult(WatchResult result) {
    boolean answered = result.event() != WatchResult.Event.UNAVAILABLE;
    if (answered != connected) {
      connected = answered;
      log.write(answered ? "store_regained" : "store_lost", "by=configuration_watch");
    }
    result.value().ifPresent(this::install);
  }

  /**
   * Returns the configuration in force, as operators wrote it.
   *
   * @return empty if none is known
   */
  public Optional<StoreValue> newest() {
    return newest;
  }

  /**
   * Returns the newest revision of the configuration that is known.
   *
   * @return 0 if none is
   */
  public long revision() {
    return follower.revision();
  }

  /**
   * Returns for how long neither the store nor the holder has confirmed what is known.
   *
   * @return milliseconds
   */
  public long ageMs() {
    return follower.ageMs();
  }

  /**
   * Returns when what is known was last confirmed to be the newest. For any thread.
   *
   * @return {@link UpperTime#NEVER} if it never was; never null
   */
  public UpperTime confirmed() {
    return follower.confirmed();
  }

  /**
   * Learns which revision another gateway knows.
   *
   * @param known the revision; 0 if it knows none
   * @param at when the store told it so; not null
   */
  public void onHeard(long known, UpperTime at) {
    follower.onHeard(known, at);
  }

  /**
   * Takes a configuration from another gateway.
   *
   * @param value what that gateway knows; not null
   */
  public void onNews(StoreValue value) {
    // A store that came back older shows an older version under a later revision.
    follower.onTaken(value.revision());
    install(value);
  }

  /**
   * Returns what a gateway lacks that should have it by now.
   *
   * @param known the newest revision that it knows
   * @return empty if it lacks nothing, or may still learn of it by itself
   */
  public Optional<StoreValue> lackedBy(long known) {
    Map.Entry<Long, Long> firstMissed = sinceMs.higherEntry(known);
    boolean lags = firstMissed != null && clock.nowMs() - firstMissed.getValue() > LAG_MS;
    return lags ? newest : Optional.empty();
  }

  private void install(StoreValue value) {
    RoutingConfiguration next;
    try {
      next = ports.configurationDecoder().apply(value.value());
    } catch (CodedException unreadable) {
      log.write(
          "configuration_unreadable",
          "revision={} why=\"{}\"",
          value.revision(),
          unreadable.getMessage());
      return;
    }
    long known = state.current().configuration().map(RoutingConfiguration::version).orElse(-1L);
    if (next.version() <= known) {
      return;
    }
    newest = Optional.of(value);
    sinceMs.put(value.revision(), clock.nowMs());
    if (sinceMs.size() > MAX_REMEMBERED) {
      sinceMs.pollFirstEntry();
    }
    state.update(snapshot -> snapshot.withConfiguration(next));
    log.write("configuration_in_force", "version={} revision={}", next.version(), value.revision());
    onInForce.accept(value);
  }
}
