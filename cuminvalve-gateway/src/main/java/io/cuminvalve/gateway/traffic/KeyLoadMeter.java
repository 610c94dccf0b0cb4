package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.protocol.KeyLoadReport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Accumulates the load of keys between two reports.
 *
 * @since 0.2
 */
public final class KeyLoadMeter {

  private Map<ServiceId, ServiceWork> workByService = new HashMap<>();

  /**
   * Adds the duration of one request.
   *
   * @param service the service; not null
   * @param key the key
   * @param tookMs milliseconds from sending the request to its response
   */
  public synchronized void add(ServiceId service, int key, long tookMs) {
    ServiceWork work = workByService.computeIfAbsent(service, id -> new ServiceWork());
    work.byKeyMs.merge(key, (int) Math.max(1, tookMs), Integer::sum);
    work.requests++;
  }

  /**
   * Returns the load added since the last call.
   *
   * @return one report for each service with load; never null
   */
  public List<KeyLoadReport> take() {
    Map<ServiceId, ServiceWork> taken;
    synchronized (this) {
      taken = workByService;
      workByService = new HashMap<>();
    }
    List<KeyLoadReport> reports = new ArrayList<>();
    taken.forEach((service, work) -> reports.add(reportOf(service, work)));
    return reports;
  }

  private static KeyLoadReport reportOf(ServiceId service, ServiceWork work) {
    int[] keys = new int[work.byKeyMs.size()];
    int[] values = new int[work.byKeyMs.size()];
    int next = 0;
    for (Map.Entry<Integer, Integer> entry : work.byKeyMs.entrySet()) {
      keys[next] = entry.getKey();
      values[next] = entry.getValue();
      next++;
    }
    return new KeyLoadReport(service, keys, values, work.requests);
  }

  /** The load of one service since the last report. */
  private static final class ServiceWork {

    private final Map<Integer, Integer> byKeyMs = new HashMap<>();
    private int requests;
  }
}
