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
 * Keeps the newest configuration in force and never replaces it by an older one.
 *
 * <p>Operators write it together with the evacuated data centres, which {@link EvacuationTracker}
 * applies. Both are followed as one value.
 *
 * <p>The holder of the term and its deputies watch the store. They confirm to every other gateway
 * that its configuration is current, or send it the newer one. If a configuration cannot be
 * decoded, the previous one stays in force. All methods run on the control thread.
 *
 * @since 0.2
 */
public final class ConfigurationWatch {

  /** Delay after a failed call. Short, because a change must be in force within 2 s. */
  private static final long RETRY_MS = 150;

  /**
   * How long after this gateway received a configuration it is sent to a gateway that still lacks
   * it. This is several times the response time of the store and half of the time within which a
   * configuration must be in force.
   */
  private static final long LAG_LIMIT_MS = 1_000;

  /**
   * Number of revisions whose time of arrival is kept. This covers several seconds at dozens of
   * changes per second; a gateway that misses more revisions lags in any case.
   */
  private static final int MAX_TRACKED_REVISIONS = 128;

  private final GatewayPorts ports;
  private final RoutingState state;
  private final MillisClock clock;
  private final DecisionLog log;
  private final KeyFollower follower;
  private final Consumer<StoreValue> onInForce;
  private final EvacuationTracker evacuations;
  private boolean storeAvailable = true;
  private Optional<StoreValue> newest = Optional.empty();

  /** Time of arrival of each revision; the oldest entries are evicted. */
  private final NavigableMap<Long, Long> receivedMs = new TreeMap<>();

  /**
   * Creates a watch that is not started.
   *
   * @param ports the store and the decoder; not null
   * @param state receives the configuration; not null
   * @param control the thread that owns the state; not null
   * @param clock the time; not null
   * @param log the decision log; not null
   * @param reliance how far the holder and its deputies are relied on; not null
   * @param onInForce called for each configuration that comes into force; not null
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
    this.evacuations = new EvacuationTracker(ports.evacuationDecoder(), state, control, clock, log);
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

  /** Starts watching. */
  public void start() {
    follower.start();
  }

  /** Stops watching. */
  public void close() {
    follower.close();
  }

  private void onResult(WatchResult result) {
    boolean answered = result.event() != WatchResult.Event.UNAVAILABLE;
    if (answered != storeAvailable) {
      storeAvailable = answered;
      log.write(answered ? "store_regained" : "store_lost", "by=configuration_watch");
    }
    result.value().ifPresent(this::install);
  }

  /**
   * Returns the stored value of the configuration in force.
   *
   * @return empty if none is known
   */
  public Optional<StoreValue> newest() {
    return newest;
  }

  /**
   * Returns the newest known revision of the configuration.
   *
   * @return 0 if none is known
   */
  public long revision() {
    return follower.revision();
  }

  /**
   * Returns the time since the store or the holder last confirmed the configuration.
   *
   * @return milliseconds
   */
  public long ageMs() {
    return follower.ageMs();
  }

  /**
   * Returns when the configuration was last confirmed to be the newest. Thread-safe.
   *
   * @return {@link UpperTime#NEVER} if it never was; never null
   */
  public UpperTime confirmed() {
    return follower.confirmed();
  }

  /**
   * Processes the newest revision that another gateway knows.
   *
   * @param known the revision; 0 if that gateway knows none
   * @param at when the store confirmed the revision to that gateway; not null
   */
  public void onHeard(long known, UpperTime at) {
    follower.onPeerRevision(known, at);
  }

  /**
   * Applies a configuration received from another gateway.
   *
   * @param value the configuration that gateway knows; not null
   */
  public void onUpdate(StoreValue value) {
    // A store restored from an older copy has an older version under a later revision.
    follower.advanceTo(value.revision());
    install(value);
  }

  /** Handles a store that was restored from an older copy and may have lost evacuations. */
  public void onStoreRestored() {
    evacuations.onStoreRestored();
  }

  /**
   * Returns the configuration to send to a gateway that should have it by now.
   *
   * @param known the newest revision that the gateway knows
   * @return empty if the gateway is up to date or may still receive the change from the store
   */
  public Optional<StoreValue> missingFrom(long known) {
    Map.Entry<Long, Long> firstMissed = receivedMs.higherEntry(known);
    boolean lags = firstMissed != null && clock.nowMs() - firstMissed.getValue() > LAG_LIMIT_MS;
    return lags ? newest : Optional.empty();
  }

  private void install(StoreValue value) {
    evacuations.onValue(value);
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
    boolean newer = next.version() > known;
    boolean sameAgain =
        next.version() == known
            && newest.filter(stored -> stored.revision() >= value.revision()).isEmpty();
    if (!newer && !sameAgain) {
      return;
    }
    newest = Optional.of(value);
    receivedMs.put(value.revision(), clock.nowMs());
    if (receivedMs.size() > MAX_TRACKED_REVISIONS) {
      receivedMs.pollFirstEntry();
    }
    if (newer) {
      state.update(snapshot -> snapshot.withConfiguration(next));
      log.write(
          "configuration_in_force", "version={} revision={}", next.version(), value.revision());
    }
    onInForce.accept(value);
  }
}
