package io.cuminvalve.core.exchange;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cuminvalve.core.fleet.RelayPeer;
import io.cuminvalve.core.fleet.RelayPeerSelector;
import io.cuminvalve.core.id.DataCentreId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Compares two ways to handle requests at gateways without a path to the targets, in a model on
 * virtual time: forwarding them to peers, and refusing them at once.
 *
 * <p>First tries of callers are counted, as callers of one gateway see them. A gateway with a path
 * sends a bounded number of requests at a time and admits a bounded number of relayed ones.
 */
class ForwardingModelTest {

  private static final int GATEWAYS = 8;
  private static final int SLOTS = 64;
  private static final int MAX_RELAYED = 64;
  private static final long DURATION_MS = 10_000;
  private static final long SERVICE_MS = 300;
  private static final long PAUSE_MS = 40;
  private static final DataCentreId HERE = new DataCentreId("here");

  @Test
  void forwardingServesCallersOfCutGatewaysLikeOthers() {
    for (int cut = 1; cut < GATEWAYS; cut++) {
      Fleet forwarding = new Fleet(cut, true).run();
      Fleet refusing = new Fleet(cut, false).run();
      assertWithMessage("refusing, %s cut", cut).that(refusing.cutShare()).isEqualTo(0.0);
      assertWithMessage("forwarding, %s cut", cut)
          .that(forwarding.cutShare())
          .isAtLeast(forwarding.openShare() * 2 / 3);
      assertThat(forwarding.served()).isGreaterThan(refusing.served());
    }
  }

  @Test
  void peersWithRoomServeTheirOwnCallersAsBefore() {
    for (int cut = 1; cut <= GATEWAYS / 2; cut++) {
      Fleet forwarding = new Fleet(cut, true).run();
      assertWithMessage("%s cut", cut).that(forwarding.openShare()).isEqualTo(1.0);
      assertWithMessage("%s cut", cut).that(forwarding.cutShare()).isEqualTo(1.0);
    }
  }

  /** An event of the model. */
  private record Event(long atMs, long order, Runnable action) {}

  /** Gateways of which the first ones are cut off from the targets. */
  private static final class Fleet {

    private final SplittableRandom random = new SplittableRandom(23);
    private final PriorityQueue<Event> events =
        new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparing(Event::order));
    private final int cut;
    private final boolean forwards;
    private final int[] sending = new int[GATEWAYS];
    private final int[] relayed = new int[GATEWAYS];
    private final int[] asked = new int[GATEWAYS];
    private final int[] answered = new int[GATEWAYS];
    private final List<RelayPeer> peers = new ArrayList<>();
    private final List<RelayPeerSelector> selectors = new ArrayList<>();
    private long nowMs;
    private long order;

    Fleet(int cut, boolean forwards) {
      this.cut = cut;
      this.forwards = forwards;
      for (int gateway = 0; gateway < GATEWAYS; gateway++) {
        selectors.add(new RelayPeerSelector(HERE, random.split()));
        if (gateway >= cut) {
          peers.add(new RelayPeer(Integer.toString(gateway), HERE));
        }
      }
    }

    Fleet run() {
      for (int gateway = 0; gateway < GATEWAYS; gateway++) {
        int own = gateway;
        for (long atMs = random.nextInt((int) PAUSE_MS); atMs < DURATION_MS; atMs += PAUSE_MS) {
          at(atMs, () -> new Request(own).start());
        }
      }
      while (!events.isEmpty()) {
        Event next = events.remove();
        nowMs = next.atMs();
        next.action().run();
      }
      return this;
    }

    private void at(long atMs, Runnable action) {
      events.add(new Event(atMs, order++, action));
    }

    double cutShare() {
      return share(0, cut);
    }

    double openShare() {
      return share(cut, GATEWAYS);
    }

    int served() {
      int sum = 0;
      for (int count : answered) {
        sum += count;
      }
      return sum;
    }

    private double share(int from, int to) {
      double served = 0;
      double all = 0;
      for (int gateway = from; gateway < to; gateway++) {
        served += answered[gateway];
        all += asked[gateway];
      }
      return served / all;
    }

    /** One first try of a caller. */
    private final class Request {

      private final int gateway;
      private final ExchangeStateMachine machine;
      private final Set<String> tried = new HashSet<>();

      Request(int gateway) {
        this.gateway = gateway;
        this.machine =
            new ExchangeStateMachine(
                new ExchangeProfile(false, true, 1, 400, nowMs, nowMs + 2_000), () -> true);
      }

      void start() {
        asked[gateway]++;
        apply(machine.onStart(false, nowMs));
        if (gateway < cut) {
          apply(machine.onUnreachable(forwards && hasPeer(), 500, nowMs));
        } else if (sending[gateway] < SLOTS) {
          apply(machine.onSlot());
          serve(gateway, () -> apply(machine.onAnswer(200, nowMs)));
        } else {
          apply(machine.onNoSlot("owner_busy"));
        }
      }

      private boolean hasPeer() {
        return tried.size() < peers.size();
      }

      private void serve(int sender, Runnable onEnd) {
        sending[sender]++;
        at(
            nowMs + SERVICE_MS,
            () -> {
              sending[sender]--;
              onEnd.run();
            });
      }

      private void forward() {
        RelayPeerSelector selector = selectors.get(gateway);
        Optional<RelayPeer> peer = selector.select(peers, tried, nowMs);
        String address = peer.orElseThrow().address();
        int sender = Integer.parseInt(address);
        tried.add(address);
        if (relayed[sender] >= MAX_RELAYED) {
          selector.onUseless(address, nowMs);
          apply(machine.onPeerRefusal(0, 250, hasPeer(), nowMs));
        } else if (sending[sender] >= SLOTS) {
          apply(machine.onPeerRefusal(0, 500, hasPeer(), nowMs));
        } else {
          relayed[sender]++;
          serve(sender, () -> onServed(sender));
        }
      }

      private void onServed(int sender) {
        relayed[sender]--;
        apply(machine.onPeerAnswer(200, 1, hasPeer(), nowMs));
      }

      private void apply(List<ExchangeEffect> effects) {
        for (ExchangeEffect effect : effects) {
          if (effect instanceof ExchangeEffect.ForwardToPeer) {
            forward();
          } else if (effect instanceof ExchangeEffect.Relay) {
            answered[gateway]++;
          }
        }
      }
    }
  }
}
