package io.cuminvalve.gateway.traffic;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A target's rejection that comes a second time, late, must not pass for the response to another
 * attempt of the same request, which has the same id.
 */
@Timeout(60)
class LateRejectionTest {

  private static final int CALLERS = 6;
  private static final int REQUESTS_PER_CALLER = 40;

  /** Virtual time between two requests of a caller, in which the retry budget recovers. */
  private static final long PAUSE_MS = 250;

  private static final int BAD_REQUEST = 400;
  private static final int BAD_GATEWAY = 502;
  private static final int BUSY = 503;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int MISDIRECTED = 421;
  private static final Set<Integer> NOT_RUN_STATUSES =
      Set.of(408, MISDIRECTED, TOO_MANY_REQUESTS, BUSY);

  /** Guards against attempts of one request that share a connection. */
  @Test
  void attemptsOfOneRequestUseDifferentConnections() throws Exception {
    LateRejections script = new LateRejections(() -> 9, () -> BUSY, () -> false, () -> 0);
    try (RawTarget target = new RawTarget(script);
        StallableGateway gateway = new StallableGateway(target).configureKeyed()) {
      assertThat(sendBooking(gateway, "first")).isEqualTo(BUSY);
      assertThat(sendBooking(gateway, "second")).isEqualTo(BUSY);
      List<Integer> connections = connectionsOf(target, "first");
      assertThat(connections.size()).isGreaterThan(2);
      assertThat(connections).containsNoDuplicates();
      // They are kept for the attempts of later requests.
      assertThat(connectionsOf(target, "second")).isEqualTo(connections);
    }
  }

  /** Guards against a second run because a copy comes in place of the next response. */
  @Test
  void theCopyOfTheRejectionBeforeDoesNotRejectTheNextAttempt() throws Exception {
    assertRunsOnce(1, BUSY, 0);
  }

  /** Guards against a second run because a copy comes one response later. */
  @Test
  void theCopyOfAnEarlierRejectionDoesNotRejectTheThirdAttempt() throws Exception {
    assertRunsOnce(2, BUSY, 1);
  }

  /** Guards against a second run because of the copy of a rejection for a limit. */
  @Test
  void theCopyOfRejectionsForLimitsDoesNotRejectTheNextAttempt() throws Exception {
    assertRunsOnce(1, TOO_MANY_REQUESTS, 0);
  }

  /** Guards against a second run because of the copy of a rejection for a key that is not owned. */
  @Test
  void theCopyOfRejectionsForKeysDoesNotRejectTheNextAttempt() throws Exception {
    assertRunsOnce(1, MISDIRECTED, 0);
  }

  private static void assertRunsOnce(int rejections, int status, int requestsBetween)
      throws Exception {
    LateRejections script =
        new LateRejections(() -> rejections, () -> status, () -> true, () -> requestsBetween);
    try (RawTarget target = new RawTarget(script);
        StallableGateway gateway = new StallableGateway(target).configureKeyed()) {
      assertThat(sendBooking(gateway, "booking")).isEqualTo(200);
    }
    assertThat(script.runs()).containsExactly("booking");
  }

  /** Guards against a second run because a rejection that names no request counts for any. */
  @Test
  void rejectionsThatNameNoRequestRejectNone() throws Exception {
    List<String> runs = new CopyOnWriteArrayList<>();
    RawTarget.Script script =
        (connection, id) -> {
          runs.add(id);
          return RawTarget.rejectionWithoutId(BUSY) + RawTarget.success(id);
        };
    try (RawTarget target = new RawTarget(script);
        StallableGateway gateway = new StallableGateway(target).configureKeyed()) {
      assertThat(sendBooking(gateway, "booking")).isEqualTo(BAD_GATEWAY);
    }
    assertThat(runs).containsExactly("booking");
  }

  /** Guards against a doubtful answer to requests that no target runs, since they have no id. */
  @Test
  void requestsWithoutIdAreRefusedAsNotRun() throws Exception {
    RawTarget.Script script = (connection, id) -> RawTarget.rejectionWithoutId(BAD_REQUEST);
    try (RawTarget target = new RawTarget(script);
        StallableGateway gateway = new StallableGateway(target).configureKeyed()) {
      assertThat(sendBooking(gateway, "")).isEqualTo(BUSY);
    }
  }

  /** Guards against second runs and wrong refusals where callers share the connections. */
  @Test
  void copiesOfRejectionsOfManyCallersRejectNoOtherAttempt() throws Exception {
    Random random = new Random(11);
    List<Integer> statuses = List.of(BUSY, TOO_MANY_REQUESTS, MISDIRECTED);
    LateRejections script =
        new LateRejections(
            () -> random.nextInt(4),
            () -> statuses.get(random.nextInt(statuses.size())),
            () -> random.nextInt(3) == 0,
            () -> random.nextInt(2));
    Map<String, Integer> answers = new ConcurrentHashMap<>();
    try (RawTarget target = new RawTarget(script);
        StallableGateway gateway = new StallableGateway(target).configureKeyed()) {
      sendBookingsOfManyCallers(gateway, answers);
      gateway.stopWhenIdle();
    }
    assertThat(script.sentCopies()).isGreaterThan(0);
    assertWithMessage("requests that ran").that(script.runs()).containsNoDuplicates();
    Set<String> ran = Set.copyOf(script.runs());
    List<String> refusedThoughRun =
        answers.entrySet().stream()
            .filter(answer -> NOT_RUN_STATUSES.contains(answer.getValue()))
            .map(Map.Entry::getKey)
            .filter(ran::contains)
            .toList();
    assertWithMessage("requests that ran and were refused").that(refusedThoughRun).isEmpty();
  }

  private static void sendBookingsOfManyCallers(
      StallableGateway gateway, Map<String, Integer> answers) throws Exception {
    ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    List<Future<?>> running = new ArrayList<>();
    for (int caller = 0; caller < CALLERS; caller++) {
      String prefix = "caller-" + caller + "-";
      running.add(callers.submit(() -> sendBookings(gateway, prefix, answers)));
    }
    for (Future<?> caller : running) {
      caller.get();
    }
    callers.shutdown();
  }

  private static Void sendBookings(
      StallableGateway gateway, String prefix, Map<String, Integer> answers) throws Exception {
    for (int number = 0; number < REQUESTS_PER_CALLER; number++) {
      String id = prefix + number;
      answers.put(id, sendBooking(gateway, id));
      gateway.advance(PAUSE_MS);
    }
    return null;
  }

  private static int sendBooking(StallableGateway gateway, String id) throws Exception {
    try (StallableGateway.Call call = gateway.connect().sendBooking(id, 7)) {
      return call.status();
    }
  }

  private static List<Integer> connectionsOf(RawTarget target, String id) {
    return target.arrivals().stream()
        .filter(arrival -> arrival.id().equals(id))
        .map(RawTarget.Arrival::connection)
        .toList();
  }
}
