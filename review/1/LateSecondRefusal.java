package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Instances reject some requests for lack of room, and a few of these rejections come a second
 * time, late, where the next response on that connection is expected.
 */
final class LateSecondRefusal {

  private static final int CLIENTS_PER_GATEWAY = 3;
  private static final double TRAFFIC_S = 60;
  private static final double REJECTED_SHARE = 0.15;

  /** Twice the share of answers in the largest entry of this kind in the site file. */
  private static final double LATE_COPY_SHARE = 0.06;

  private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

  private final Record record;
  private final Map<String, Integer> answers = new ConcurrentHashMap<>();

  private LateSecondRefusal(Record record) {
    this.record = record;
  }

  public static void main(String[] arguments) {
    Case.run(arguments[0], (record, trouble) -> new LateSecondRefusal(record).play(trouble));
  }

  private int play(boolean trouble) throws Exception {
    try (Fleet fleet = new Fleet(record, 2)) {
      fleet.addInstance("i-aaaa0001", "chapinero", 100);
      fleet.addInstance("i-bbbb0002", "usaquen", 100);
      fleet.startGateways(true);
      if (!fleet.gateways.awaitReady(12) || !fleet.awaitKeysHeld(12)) {
        record.tell("the fleet did not get ready");
        return Case.NOT_RUN;
      }
      fleet.instances.forEach(instance -> instance.rejectShare(REJECTED_SHARE));
      if (trouble) {
        fleet.instances.forEach(instance -> instance.repeatRejectionsLate(LATE_COPY_SHARE));
      }
      sendTraffic(fleet);
      return judge(fleet);
    }
  }

  private void sendTraffic(Fleet fleet) throws InterruptedException {
    double end = record.now() + TRAFFIC_S;
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < fleet.gateways.count() * CLIENTS_PER_GATEWAY; i++) {
      int number = i;
      String address = fleet.gateways.front(i % fleet.gateways.count());
      clients.add(new Thread(() -> sendRequests(number, address, end)));
    }
    clients.forEach(Thread::start);
    for (Thread client : clients) {
      client.join();
    }
    // Whatever a gateway may still send after its answer has time to arrive.
    Thread.sleep(2_000);
  }

  private void sendRequests(int number, String address, double end) {
    Random random = new Random(1_000 + number);
    try (Client client = new Client(address)) {
      for (int count = 0; record.now() < end; count++) {
        boolean read = random.nextInt(3) == 0;
        String attemptId = String.format("%02x%06x", number, count);
        int key = random.nextInt(65_536);
        record.write("client %d: sends %s key %d", number, attemptId, key);
        Client.Answer answer =
            read
                ? client.send("GET", Fleet.HOST, "/menu/2f", attemptId, key, new byte[0])
                : client.send("POST", Fleet.HOST, "/booking/2f", attemptId, key, new byte[300]);
        answers.put(attemptId, answer.status());
        record.write("client %d: %s answered %d", number, attemptId, answer.status());
        Thread.sleep(20 + random.nextInt(60));
      }
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  private int judge(Fleet fleet) {
    Map<String, List<Instance.Run>> runs = new HashMap<>();
    for (Instance instance : fleet.instances) {
      for (Instance.Run run : instance.runs()) {
        if (run.method().equals("POST")) {
          runs.computeIfAbsent(run.attemptId(), id -> new ArrayList<>()).add(run);
        }
      }
    }
    int twice = 0;
    int refused = 0;
    for (Map.Entry<String, List<Instance.Run>> entry : runs.entrySet()) {
      int status = answers.getOrDefault(entry.getKey(), 0);
      if (entry.getValue().size() > 1) {
        twice++;
        record.tell("TWICE: %s ran %s, answered %d", entry.getKey(), times(entry), status);
      }
      if (PROMISES.contains(status)) {
        refused++;
        record.tell("REFUSED: %s ran %s, answered %d", entry.getKey(), times(entry), status);
      }
    }
    record.tell(
        "%d requests answered, %d bookings ran, %d of them more than once (TWICE),"
            + " %d refused though they ran (REFUSED)",
        answers.size(), runs.size(), twice, refused);
    if (runs.isEmpty()) {
      return Case.NOT_RUN;
    }
    return twice + refused > 0 ? Case.BROKEN : Case.HELD;
  }

  private static String times(Map.Entry<String, List<Instance.Run>> entry) {
    StringBuilder text = new StringBuilder();
    for (Instance.Run run : entry.getValue()) {
      text.append(String.format("at %.3f s on %s; ", run.begin(), run.instance().id));
    }
    return text.toString();
  }
}
