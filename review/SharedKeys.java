package review;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/** Judges whether two instances that are up held the same keys for over half a second. */
final class SharedKeys {

  /** Two instances may hold the same keys for this long. */
  private static final double OVERLAP_S = 0.5;

  private static final int KEYS = 65_536;
  private static final int KEY_STEP = 16;

  private SharedKeys() {}

  /** Compares, key by key, the spans in which each instance held the key. */
  static int judge(List<Instance> instances, Record record) {
    int keys = 0;
    double longest = 0;
    int grants = 0;
    for (Instance instance : instances) {
      grants += instance.holds().size();
    }
    for (int key = 0; key < KEYS; key += KEY_STEP) {
      Overlap found = longestOverlap(instances, key);
      keys += found.seconds > OVERLAP_S ? 1 : 0;
      if (found.seconds > Math.max(longest + 0.1, OVERLAP_S)) {
        longest = found.seconds;
        record.tell(
            "OWNER: key %d is held by %s and by %s for %.3f s (%s)",
            key, found.one, found.other, found.seconds, found.text);
      }
    }
    record.tell(
        "%d grants taken; of %d keys looked at, %d were held by two instances for over %.1f s,"
            + " the longest for %.3f s",
        grants, KEYS / KEY_STEP, keys, OVERLAP_S, longest);
    if (grants == 0) {
      return Case.NOT_RUN;
    }
    return keys > 0 ? Case.BROKEN : Case.HELD;
  }

  /** Two spans in which two instances held one key. */
  private record Overlap(double seconds, String one, String other, String text) {}

  private static Overlap longestOverlap(List<Instance> instances, int key) {
    List<Span> spans = new ArrayList<>();
    instances.forEach(instance -> spans.addAll(spans(instance, key)));
    Overlap longest = new Overlap(0, "", "", "");
    for (Span one : spans) {
      for (Span other : spans) {
        double seconds = Math.min(one.end, other.end) - Math.max(one.begin, other.begin);
        boolean first = one.begin <= other.begin && one.instance != other.instance;
        if (first && seconds > longest.seconds) {
          String text =
              String.format(
                  Locale.ROOT, "%.3f to %.3f s and %.3f to %.3f s",
                  one.begin, one.end, other.begin, other.end);
          longest = new Overlap(seconds, one.instance.id, other.instance.id, text);
        }
      }
    }
    return longest;
  }

  /** A span in which an instance held a key without a gap. */
  private record Span(Instance instance, double begin, double end) {}

  /** Returns when an instance held a key; a renewal continues a span. */
  private static List<Span> spans(Instance instance, int key) {
    List<Instance.Hold> holds = new ArrayList<>(instance.holds());
    holds.removeIf(hold -> hold.from > key || hold.to < key);
    holds.sort(Comparator.comparingDouble(hold -> hold.begin));
    List<Span> spans = new ArrayList<>();
    for (Instance.Hold hold : holds) {
      Span last = spans.isEmpty() ? null : spans.get(spans.size() - 1);
      if (last != null && hold.begin <= last.end + 0.001) {
        double end = Math.max(last.end, hold.end);
        spans.set(spans.size() - 1, new Span(instance, last.begin, end));
      } else {
        spans.add(new Span(instance, hold.begin, hold.end));
      }
    }
    return spans;
  }
}
