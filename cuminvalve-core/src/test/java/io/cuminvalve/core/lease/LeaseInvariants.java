package io.cuminvalve.core.lease;

import io.cuminvalve.core.id.ServiceId;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Checks the leases that runs of targets hold and records the first violation of each invariant.
 */
final class LeaseInvariants {

  /** The invariant that was violated. */
  enum Violation {
    TWO_OWNERS,
    TOKEN_NOT_ABOVE_THAT_OF_ANOTHER_RUN,
    KEYS_OF_ANOTHER_SERVICE
  }

  private final Map<Violation, String> violations = new EnumMap<>(Violation.class);
  private final Map<ServiceId, OwnedKeys> owned = new LinkedHashMap<>();

  LeaseInvariants(Collection<ServiceId> services) {
    services.forEach(service -> owned.put(service, new OwnedKeys(service)));
  }

  /** Returns the first violation of each kind; empty if there was none. */
  Map<Violation, String> violations() {
    return violations;
  }

  /**
   * Returns the maximum number of sampled keys that had an owner at the same time, for the service
   * with the lowest maximum.
   */
  int maxOwnedKeys() {
    return owned.values().stream().mapToInt(keys -> keys.maxOwnedKeys).min().orElse(0);
  }

  /** Records a grant that a run carried out, perhaps after its lease had expired. */
  void onGranted(SimulatedTarget run, LeaseOrder.Grant grant, long nowMs) {
    for (int sample = 0; sample < SimulatedTarget.SAMPLES; sample++) {
      if (grant.range().contains(sample * SimulatedTarget.STEP) && run.holds(sample, nowMs)) {
        owned.get(grant.service()).onTaken(run, sample, grant.token(), nowMs);
      }
    }
  }

  /** Checks every sampled key. */
  void check(Collection<SimulatedTarget> runs, long nowMs) {
    owned.values().forEach(keys -> keys.check(runs, nowMs));
  }

  private void report(Violation violation, String message, long nowMs) {
    violations.putIfAbsent(violation, nowMs + " ms: " + message);
  }

  /** The sampled keys of one service. */
  private final class OwnedKeys {

    private final ServiceId service;
    private final Map<Integer, Map<SimulatedTarget, Long>> tokens = new HashMap<>();
    private int maxOwnedKeys;

    OwnedKeys(ServiceId service) {
      this.service = service;
    }

    void onTaken(SimulatedTarget run, int sample, long token, long nowMs) {
      String taken =
          run + " took key " + sample * SimulatedTarget.STEP + " of " + service + " under " + token;
      if (!run.service().equals(service)) {
        report(Violation.KEYS_OF_ANOTHER_SERVICE, taken, nowMs);
      }
      Map<SimulatedTarget, Long> before =
          tokens.computeIfAbsent(sample, key -> new LinkedHashMap<>());
      before.forEach(
          (other, othersToken) -> {
            if (!other.equals(run) && othersToken >= token) {
              report(
                  Violation.TOKEN_NOT_ABOVE_THAT_OF_ANOTHER_RUN,
                  taken + "; " + other + " had it under " + othersToken,
                  nowMs);
            }
          });
      before.merge(run, token, Math::max);
    }

    void check(Collection<SimulatedTarget> runs, long nowMs) {
      int ownedNow = 0;
      for (int sample = 0; sample < SimulatedTarget.SAMPLES; sample++) {
        SimulatedTarget owner = null;
        for (SimulatedTarget run : runs) {
          if (!run.holds(sample, nowMs) || !service.equals(run.lastGrantedFor(sample))) {
            continue;
          }
          if (owner != null) {
            String key = "key " + sample * SimulatedTarget.STEP + " of " + service;
            report(Violation.TWO_OWNERS, owner + " and " + run + " hold " + key, nowMs);
          }
          owner = run;
        }
        ownedNow += owner == null ? 0 : 1;
      }
      maxOwnedKeys = Math.max(maxOwnedKeys, ownedNow);
    }
  }
}
