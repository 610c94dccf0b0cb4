package io.cuminvalve.gateway.control;

import io.cuminvalve.core.route.RoutingConfiguration;
import io.cuminvalve.gateway.GatewayPorts;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.traffic.RoutingState;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.ports.store.StoreValue;
import io.cuminvalve.ports.store.WatchResult;
import java.util.Optional;

/**
 * Keeps the newest configuration in force, and never an older one after it.
 *
 * <p>Every gateway waits at the store itself: changes are rare, so one waiting call costs little,
 * and nobody has to be trusted to pass them on. A configuration that cannot be read leaves the last
 * good one in force.
 *
 * @since 0.2
 */
public final class ConfigurationWatch {

  /** How long one call waits; the longest that the store allows. */
  private static final long WAIT_MS = 30_000;

  /** Pause after a call that failed: short, since a change has to be in force within 2 s. */
  private static final long RETRY_MS = 150;

  private final GatewayPorts ports;
  private final RoutingState state;
  private final ControlThread control;
  private final DecisionLog log;
  private long revision;
  private boolean connected = true;
  private boolean closed;
  private Optional<StoreValue> newest = Optional.empty();

  /**
   * Creates a watch that does nothing yet.
   *
   * @param ports the store and the decoder; not null
   * @param state where the configuration goes; not null
   * @param control the thread that owns the state; not null
   * @param log takes decisions; not null
   */
  public ConfigurationWatch(
      GatewayPorts ports, RoutingState state, ControlThread control, DecisionLog log) {
    this.ports = ports;
    this.state = state;
    this.control = control;
    this.log = log;
  }

  /** Starts to watch. For the control thread. */
  public void start() {
    if (!closed) {
      ports
          .store()
          .watch(ports.configurationKey(), revision, WAIT_MS)
          .thenAcceptAsync(this::onResult, control);
    }
  }

  /** Ends the watch. For the control thread. */
  public void close() {
    closed = true;
  }

  private void onResult(WatchResult result) {
    boolean answered = result.event() != WatchResult.Event.UNAVAILABLE;
    if (answered != connected) {
      connected = answered;
      log.write(answered ? "store_regained" : "store_lost", "by=configuration_watch");
    }
    result
        .value()
        .ifPresent(
            value -> {
              revision = Math.max(revision, value.revision());
              install(value);
            });
    if (result.event() == WatchResult.Event.CHANGED
        || result.event() == WatchResult.Event.UNCHANGED) {
      start();
    } else {
      control.schedule(this::start, RETRY_MS);
    }
  }

  /**
   * Returns the configuration in force, as operators wrote it. For the control thread.
   *
   * @return empty if none is known
   */
  public Optional<StoreValue> newest() {
    return newest;
  }

  /**
   * Takes a configuration from another gateway. For the control thread.
   *
   * @param value what that gateway knows; not null
   */
  public void onNews(StoreValue value) {
    if (newest.isEmpty()) {
      install(value);
    }
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
    state.update(snapshot -> snapshot.withConfiguration(next));
    log.write("configuration_in_force", "version={} revision={}", next.version(), value.revision());
  }
}
