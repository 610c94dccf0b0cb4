import java.util.List;

/** Watches which instances hold the same keys at a time, and for how long. */
final class Owners {

  private static final long STEP_MS = 20;

  private final Record record;
  private final List<Instance> instances;
  private final long[] sharedMs = new long[Instance.KEYS];
  private long longestMs;
  private int key = -1;
  private String who = "";

  Owners(Record record, List<Instance> instances) {
    this.record = record;
    this.instances = instances;
    Http.start(this::watch);
  }

  private void watch() {
    long lastMs = System.nanoTime() / 1_000_000;
    boolean[] held = new boolean[Instance.KEYS];
    while (true) {
      Store.sleep(STEP_MS);
      long nowMs = System.nanoTime() / 1_000_000;
      int[] holders = new int[Instance.KEYS];
      for (Instance instance : List.copyOf(instances)) {
        instance.copyHeld(nowMs, held);
        for (int each = 0; each < Instance.KEYS; each++) {
          holders[each] += held[each] ? 1 : 0;
        }
      }
      count(holders, nowMs - lastMs, nowMs);
      lastMs = nowMs;
    }
  }

  private synchronized void count(int[] holders, long stepMs, long nowMs) {
    for (int each = 0; each < Instance.KEYS; each++) {
      sharedMs[each] = holders[each] > 1 ? sharedMs[each] + stepMs : 0;
      if (sharedMs[each] > longestMs) {
        if (longestMs <= 500 && sharedMs[each] > 500) {
          record.write("key " + each + " is held by two for over half a second: " + holdersOf(each, nowMs));
        }
        longestMs = sharedMs[each];
        key = each;
        who = holdersOf(each, nowMs);
      }
    }
  }

  private String holdersOf(int each, long nowMs) {
    StringBuilder names = new StringBuilder();
    instances.stream().filter(i -> i.holds(each, nowMs)).forEach(i -> names.append(i.id()).append(' '));
    return names.toString().trim();
  }

  /** Returns the longest time for which two held the same key; milliseconds. */
  synchronized long longestMs() {
    return longestMs;
  }

  synchronized String describe() {
    return "key " + key + " by " + who + " for " + longestMs + " ms";
  }
}
