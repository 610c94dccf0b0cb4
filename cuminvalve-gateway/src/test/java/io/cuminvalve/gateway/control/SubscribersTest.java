package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.protocol.FleetHello;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.protocol.RoutesPush;
import io.cuminvalve.core.protocol.TargetsPush;
import io.cuminvalve.wire.PeerChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SubscribersTest {

  private static final long TERM = 5;

  private final FleetView view = new FleetView(target -> 0);
  private final Subscribers subscribers = new Subscribers();
  private final Channel channel = new Channel();

  @BeforeEach
  void publish() {
    view.publishTargets(TERM, 1, List.of());
    view.publishRoutes(TERM, 1, List.of());
  }

  @Test
  void newSubscribersReceiveTheFullState() {
    subscribers.onHello(channel, hello(0, 0), TERM, view, 0);
    assertThat(channel.sent).containsExactly(view.targets(), view.routes());
  }

  @Test
  void messagesInTransitAreNotSentAgain() {
    subscribers.onHello(channel, hello(0, 0), TERM, view, 0);
    channel.sent.clear();
    subscribers.sendToAll(view.publishRoutes(TERM, 2, List.of()));
    subscribers.onHello(channel, hello(TERM, 1), TERM, view, 300);
    assertThat(channel.sent).hasSize(1);
    subscribers.onHello(channel, hello(TERM, 2), TERM, view, 600);
    assertThat(channel.sent).hasSize(1);
  }

  @Test
  void lostStateIsSentAgainInFull() {
    subscribers.onHello(channel, hello(0, 0), TERM, view, 0);
    subscribers.sendToAll(view.publishRoutes(TERM, 2, List.of()));
    subscribers.onHello(channel, hello(TERM, 1), TERM, view, 300);
    channel.sent.clear();
    subscribers.onHello(channel, hello(TERM, 1), TERM, view, 600);
    assertThat(channel.sent).containsExactly(view.routes());
  }

  @Test
  void anotherConnectionOfTheSameGatewayStartsAnew() {
    subscribers.onHello(channel, hello(TERM, 1), TERM, view, 0);
    Channel next = new Channel();
    subscribers.onHello(next, hello(TERM, 1), TERM, view, 300);
    assertThat(next.sent).containsExactly(view.targets(), view.routes());
    assertThat(subscribers.count()).isEqualTo(1);
  }

  @Test
  void stateOfAnEarlierTermIsNotSent() {
    subscribers.onHello(channel, hello(0, 0), TERM + 1, view, 0);
    assertThat(channel.sent).isEmpty();
  }

  @Test
  void silentGatewaysAreNoLongerCounted() {
    subscribers.onHello(channel, hello(0, 0), TERM, view, 0);
    subscribers.removeSilent(2_000, 300);
    assertThat(subscribers.count()).isEqualTo(1);
    subscribers.removeSilent(2_200, 300);
    assertThat(subscribers.count()).isEqualTo(0);
  }

  @Test
  void majorityIncludesFollowersThatFellSilent() {
    assertThat(subscribers.majorityHeardSince(0)).isTrue();
    subscribers.onHello(channel, hello(0, 0), TERM, view, 1_000);
    assertThat(subscribers.majorityHeardSince(700)).isTrue();
    assertThat(subscribers.majorityHeardSince(1_300)).isFalse();
    subscribers.removeSilent(9_000, 300);
    assertThat(subscribers.majorityHeardSince(8_700)).isFalse();
  }

  /** A gateway that has fallen silent may have lost its path too. */
  @Test
  void reachOfSilentGatewaysIsNotUsed() {
    subscribers.onHello(channel, hello(0, 0), TERM, view, 0);
    assertThat(subscribers.relaysSince(0)).hasSize(1);
    assertThat(subscribers.relaysSince(1)).isEmpty();
  }

  private static FleetHello hello(long term, long routesVersion) {
    return new FleetHello(
        "gateway-1",
        term,
        term == 0 ? 0 : 1,
        term,
        routesVersion,
        0,
        "dc",
        1,
        0,
        0,
        0,
        0,
        "",
        0,
        0);
  }

  /** Records the sent messages and checks that their term is the current one. */
  private static final class Channel implements PeerChannel {

    private final List<PeerMessage> sent = new ArrayList<>();

    @Override
    public String peerAddress() {
      return "10.0.0.1:7000";
    }

    @Override
    public boolean send(PeerMessage message) {
      assertThat(message instanceof RoutesPush push && push.term() != TERM).isFalse();
      assertThat(message instanceof TargetsPush push && push.term() != TERM).isFalse();
      return sent.add(message);
    }
  }
}
