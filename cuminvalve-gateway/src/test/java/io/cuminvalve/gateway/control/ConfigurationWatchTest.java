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
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a gateway that keeps an outdated configuration after a network partition.
 *
 * <p>While a gateway is cut off from the store, the connection of its pending watch may lose
 * packets without an error. A watch may wait 30 s, which exceeds the time within which a change
 * must be in force. Without a check of the age, a gateway kept a configuration that was 26 s old
 * and refused requests on newly added routes, although other calls of it to the store were
 * answered.
 */
class ConfigurationWatchTest {

  /** Time within which a configuration must be in force. */
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
              store,
              "configuration",
              ConfigurationWatchTest::decode,
              bytes -> Set.of(),
              null,
              null,
              null),
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
  void changesTakeEffectImmediately() {
    store.put(version(2));
    clock.advance(0);
    assertThat(versionInForce()).isEqualTo(2);
  }

  /** The store was restored from an older copy; peers still know the version in force. */
  @Test
  void olderVersionUnderLaterRevisionIsIgnored() {
    store.put(version(3));
    clock.advance(0);
    store.put(version(2));
    clock.advance(0);
    assertThat(versionInForce()).isEqualTo(3);
    watch.onUpdate(new StoreValue(version(5), 1));
    assertThat(versionInForce()).isEqualTo(5);
  }

  @Test
  void silentWatchDelaysChangesByLessThanTheBound() {
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
