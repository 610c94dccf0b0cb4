package io.cuminvalve.core.route;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.ServiceId;
import java.util.List;
import org.junit.jupiter.api.Test;

class RoutingConfigurationTest {

  private static final ServiceId SERVICE = new ServiceId("core");
  private static final ServiceId OTHER = new ServiceId("files");

  private final RoutingConfiguration configuration =
      new RoutingConfiguration(
          7,
          List.of(route("short", "/a/"), route("long", "/a/b/")),
          List.of(new ServiceProfile(SERVICE, true, 120)),
          new CallerBounds(16_384, 1_000, 3_000, 15_000));

  @Test
  void longestPrefixWins() {
    assertThat(configuration.find("h.example", "/a/b/c").orElseThrow().name()).isEqualTo("long");
    assertThat(configuration.find("h.example", "/a/bc").orElseThrow().name()).isEqualTo("short");
  }

  @Test
  void hostAndPrefixMustMatch() {
    assertThat(configuration.find("other.example", "/a/b")).isEmpty();
    assertThat(configuration.find("h.example", "/b/a/")).isEmpty();
    assertThat(configuration.find("h.example", "/a")).isEmpty();
    assertThat(configuration.find("h.example", "")).isEmpty();
  }

  @Test
  void unknownServiceIsNotKeyed() {
    assertThat(configuration.isKeyed(SERVICE)).isTrue();
    assertThat(configuration.isKeyed(OTHER)).isFalse();
  }

  @Test
  void servicesAreChosenByWeight() {
    Route split =
        new Route(
            "split",
            "h.example",
            "/s/",
            true,
            1_000,
            400,
            1,
            List.of(new WeightedService(SERVICE, 90), new WeightedService(OTHER, 10)),
            2);
    assertThat(split.choose(0)).isEqualTo(SERVICE);
    assertThat(split.choose(0.899)).isEqualTo(SERVICE);
    assertThat(split.choose(0.901)).isEqualTo(OTHER);
  }

  private static Route route(String name, String prefix) {
    List<WeightedService> services = List.of(new WeightedService(SERVICE, 1));
    return new Route(name, "h.example", prefix, true, 1_000, 400, 1, services, 2);
  }
}
