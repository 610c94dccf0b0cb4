package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.protocol.KeyLoadReport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Sums up the work that keys cause until it is reported.
 *
 * @since 0.2
 */
public final class KeyWorkMeter {

  private Map<ServiceId, Map<Integer, Integer>> workByServiceMs = new HashMap<>();

  /**
   * Adds the time of one request.
   *
   * @param service the service; not null
   * @param key the key
   * @param tookMs milliseconds from sending it to its answer
   */
  public synchronized void add(ServiceId service, int key, long tookMs) {
    workByServiceMs
        .computeIfAbsent(service, id -> new HashMap<>())
        .merge(key, (int) Math.max(1, tookMs), Integer::sum);
  }

  /**
   * Takes what has been added since the last call.
   *
   * @return one report for each service with work; never null
   */
  public List<KeyLoadReport> take() {
    Map<ServiceId, Map<Integer, Integer>> taken;
    synchronized (this) {
      taken = workByServiceMs;
      workByServiceMs = new HashMap<>();
    }
    List<KeyLoadReport> reports = new ArrayList<>();
    taken.forEach((service, work) -> reports.add(reportOf(service, work)));
    return reports;
  }

  private static KeyLoadReport reportOf(ServiceId service, Map<Integer, Integer> workMs) {
    int[] keys = new int[workMs.size()];
    int[] values = new int[workMs.size()];
    int next = 0;
    for (Map.Entry<Integer, Integer> entry : workMs.entrySet()) {
      keys[next] = entry.getKey();
      values[next] = entry.getValue();
      next++;
    }
    return new KeyLoadReport(service, keys, values);
  }
}
