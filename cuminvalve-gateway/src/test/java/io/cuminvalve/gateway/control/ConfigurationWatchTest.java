package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.route.CallerBounds;
import io.cuminvalve.core.route.RoutingConfiguration;
import io.cuminvalve.gateway.GatewayPorts;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.traffic.RoutingState;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.FailureHandler;
import io.cuminvalve.ports.store.StoreValue;
import io.cuminvalve.testkit.time.VirtualClock;
import io.cuminvalve.testkit.time.VirtualExecutor;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Seen: one gateway went on with a configuration that was 26 seconds old and refused requests on
 * routes that had been added since, seconds after it was in touch with the store again; all others
 * were up to date. It had no line in its log and no call at the store in all that time.
 *
 * <p>How: while the gateway was cut off from the store, the connection on which it waited for the
 * next change lost its packets. Nothing told it so; the wait could last 30 s, and nobody looked at
 * how long it had been silent.
 *
 * <p>Cause: a wait that is longer than the promise that hangs on it. Proof: every late spell began
 * and ended with the same call of the store, the gauge of the version stood still for it, and other
 * calls of that gateway were answered meanwhile.
 */
class ConfigurationWatchTest {

  /** By then a configuration has to be in force. */
  private static final long IN_FORCE_MS = 2_000;

  private static final long MAX_AGE_MS = 1_460;

  private final VirtualClock clock = new VirtualClock(1_000);
  private final ControlThread control =
      new ControlThread("test", FailureHandler.logging(), new VirtualExecutor(clock));
  private final WatchedStore store = new WatchedStore(clock);
  private final RoutingState state = new RoutingState(1);
  private final ConfigurationWatch watch =
      new ConfigurationWatch(
          new GatewayPorts(
              store, "configuration", ConfigurationWatchTest::decode, null, null, null),
          state,
          control,
          clock,
          new DecisionLog(clock, 100, line -> {}),
          PeerReliance.partial(() -> MAX_AGE_MS),
          value -> {});

  @BeforeEach
  void begin() {
    store.put(version(1));
    control.execute(watch::start);
    clock.advance(0);
    assertThat(versionInForce()).isEqualTo(1);
  }

  @Test
  void changesAreInForceAtOnce() {
    store.put(version(2));
    clock.advance(0);
    assertThat(versionInForce()).isEqualTo(2);
  }

  /** The store has come back from an older copy; others know what is in force. */
  @Test
  void olderVersionsUnderLaterRevisionsDoNotCount() {
    store.put(version(3));
    clock.advance(0);
    store.put(version(2));
    clock.advance(0);
    assertThat(versionInForce()).isEqualTo(3);
    watch.onNews(new StoreValue(version(5), 1));
    assertThat(versionInForce()).isEqualTo(5);
  }

  @Test
  void waitsThatFellSilentDelayChangesByLessThanTheirBound() {
    store.silenceWaitingCalls();
    store.put(version(2));
    clock.advance(IN_FORCE_MS);
    assertThat(versionInForce()).isEqualTo(2);
  }

  private long versionInForce() {
    return state.current().configuration().map(RoutingConfiguration::version).orElse(0L);
  }

  private static byte[] version(int version) {
    return new byte[] {(byte) version};
  }

  private static RoutingConfiguration decode(byte[] bytes) {
    return new RoutingConfiguration(bytes[0], List.of(), List.of(), new CallerBounds(1, 1, 1, 1));
  }
}
