package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.authority.TargetOutcome;
import io.cuminvalve.core.authority.TargetReply;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.inventory.GrantCapability;
import io.cuminvalve.core.inventory.Instance;
import io.cuminvalve.core.inventory.Service;
import io.cuminvalve.core.placement.PlacementSettings;
import io.cuminvalve.core.placement.PlacementTarget;
import io.cuminvalve.core.placement.TargetState;
import io.cuminvalve.core.protocol.TargetObservation;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Knows the state of every target of a cell.
 *
 * @since 0.1
 */
public final class TargetWatch {

  private static final int IDLE_PROBE_FACTOR = 5;

  private final HolderContext context;
  private final Map<TargetId, Entry> entries = new LinkedHashMap<>();
  private Service service;
  private Set<TargetId> draining = Set.of();
  private long changedAtMs;
  private boolean changed;

  /**
   * Creates a watch without targets.
   *
   * @param context the holder; not null
   * @param nowMs the current time
   */
  public TargetWatch(HolderContext context, long nowMs) {
    this.context = context;
    this.changedAtMs = nowMs;
  }

  /**
   * Takes the service and its instances from a configuration. Targets that it no longer names are
   * treated as draining.
   *
   * @param newService the service; not null
   * @param instances its instances; not null
   * @param nowMs the current time
   */
  public void onConfiguration(Service newService, List<Instance> instances, long nowMs) {
    boolean first = service == null;
    service = newService;
    entries.values().forEach(entry -> entry.instance = null);
    for (Instance instance : instances) {
      Entry entry = entries.get(instance.id());
      if (entry == null) {
        entry = new Entry(new TargetEvidence(context.timings()));
        entry.coldSinceMs = first ? Long.MIN_VALUE : nowMs;
        entries.put(instance.id(), entry);
      }
      entry.instance = instance;
    }
    touch(nowMs);
  }

  /**
   * Takes the targets that are to be emptied.
   *
   * @param newDraining the targets; not null
   * @param nowMs the current time
   */
  public void onDraining(Set<TargetId> newDraining, long nowMs) {
    if (!newDraining.equals(draining)) {
      draining = Set.copyOf(newDraining);
      touch(nowMs);
    }
  }

  /**
   * Takes what a router saw.
   *
   * @param router the router; not null
   * @param observations what it saw; not null
   * @param nowMs the current time
   */
  public void onObservations(RouterId router, List<TargetObservation> observations, long nowMs) {
    for (TargetObservation observation : observations) {
      Entry entry = entries.get(observation.target());
      if (entry != null && entry.evidence.onObservation(router, observation, nowMs)) {
        entry.probeAtMs = nowMs;
      }
    }
  }

  /**
   * Takes the answer to any order or probe.
   *
   * @param reply the answer; not null
   * @param sentAtMs when the order was sent
   * @param nowMs the current time
   */
  public void onReply(TargetReply reply, long sentAtMs, long nowMs) {
    Entry entry = entries.get(reply.target());
    if (entry == null) {
      return;
    }
    TargetOutcome outcome = reply.outcome();
    if (outcome == TargetOutcome.DONE || outcome == TargetOutcome.REJECTED) {
      // An order that was under way for long may carry the answer of an earlier run.
      boolean newest = sentAtMs >= entry.answeredSentAtMs;
      entry.answeredSentAtMs = Math.max(entry.answeredSentAtMs, sentAtMs);
      if (newest && entry.evidence.onOwnAnswer(reply.incarnation(), nowMs)) {
        entry.coldSinceMs = nowMs;
        context.outbox().stateChanged("targetRestarted", reply.target().value());
        touch(nowMs);
      }
    } else {
      entry.evidence.onOwnFailure(outcome == TargetOutcome.CONNECTION_REFUSED, sentAtMs);
    }
  }

  /**
   * Lets time pass: probes targets and counts votes.
   *
   * @param nowMs the current time
   */
  public void tick(long nowMs) {
    for (Map.Entry<TargetId, Entry> each : entries.entrySet()) {
      Entry entry = each.getValue();
      if (entry.instance == null && !isInTable(each.getKey())) {
        continue;
      }
      boolean suspectedBefore = entry.evidence.isSuspected();
      if (entry.evidence.evaluate(nowMs)) {
        onLostOrBack(each.getKey(), entry, nowMs);
      }
      if (!suspectedBefore && entry.evidence.isSuspected()) {
        entry.probeAtMs = nowMs;
      }
      if (!entry.probing && nowMs >= entry.probeAtMs) {
        probe(each.getKey(), entry, nowMs);
      }
    }
  }

  /**
   * Tells whether a target does not serve.
   *
   * @param target the target; not null
   * @return true until it is back
   */
  public boolean isLost(TargetId target) {
    Entry entry = entries.get(target);
    return entry != null && entry.evidence.isLost();
  }

  /**
   * Returns the run that last answered the holder.
   *
   * @param target the target; not null
   * @return UNKNOWN if none did
   */
  public Incarnation incarnation(TargetId target) {
    Entry entry = entries.get(target);
    return entry == null ? Incarnation.UNKNOWN : entry.evidence.incarnation();
  }

  /**
   * Returns what the targets check.
   *
   * @return the weakest capability before the first configuration
   */
  public GrantCapability capability() {
    return service == null ? GrantCapability.CHECKS_NOTHING : service.capability();
  }

  /**
   * Returns the service.
   *
   * @return null before the first configuration
   */
  public Service service() {
    return service;
  }

  /**
   * Returns the state of a target.
   *
   * @param target the target; not null
   * @param nowMs the current time
   * @return DRAINING for a target that the configuration does not name
   */
  public TargetState state(TargetId target, long nowMs) {
    Entry entry = entries.get(target);
    if (entry != null && entry.evidence.isLost()) {
      return TargetState.LOST;
    }
    if (entry == null || entry.instance == null || draining.contains(target)) {
      return TargetState.DRAINING;
    }
    return warmShare(entry, nowMs) < 1 ? TargetState.COLD : TargetState.ACTIVE;
  }

  /**
   * Returns all targets for placement.
   *
   * @param nowMs the current time
   * @return those that the configuration names; not null
   */
  public List<PlacementTarget> placementTargets(long nowMs) {
    List<PlacementTarget> targets = new ArrayList<>();
    for (Map.Entry<TargetId, Entry> each : entries.entrySet()) {
      Instance instance = each.getValue().instance;
      if (instance != null) {
        TargetState state = state(each.getKey(), nowMs);
        double share = state == TargetState.COLD ? warmShare(each.getValue(), nowMs) : 1;
        targets.add(
            new PlacementTarget(
                instance.id(), instance.dataCentre(), instance.slots(), state, share));
      }
    }
    return targets;
  }

  /**
   * Returns for how long the set of usable targets has not changed.
   *
   * @param nowMs the current time
   * @return milliseconds
   */
  public long quietMs(long nowMs) {
    return nowMs - changedAtMs;
  }

  /**
   * Tells whether anything changed that a plan depends on; counts as seen.
   *
   * @return true once per change
   */
  public boolean takeChanged() {
    boolean taken = changed;
    changed = false;
    return taken;
  }

  /**
   * Returns the state of every target.
   *
   * @param nowMs the current time
   * @return a new map
   */
  public Map<TargetId, TargetState> states(long nowMs) {
    Map<TargetId, TargetState> states = new LinkedHashMap<>();
    entries.keySet().forEach(target -> states.put(target, state(target, nowMs)));
    return states;
  }

  /**
   * Makes sure that targets which a table names are watched.
   *
   * @param targets the targets; not null
   */
  public void watch(List<TargetId> targets) {
    for (TargetId target : targets) {
      Entry entry =
          entries.computeIfAbsent(target, id -> new Entry(new TargetEvidence(context.timings())));
      entry.inTable = true;
    }
  }

  private boolean isInTable(TargetId target) {
    return entries.get(target).inTable;
  }

  private void onLostOrBack(TargetId target, Entry entry, long nowMs) {
    boolean lost = entry.evidence.isLost();
    if (!lost) {
      entry.coldSinceMs = nowMs;
    }
    context.outbox().stateChanged(lost ? "targetLost" : "targetBack", target.value());
    touch(nowMs);
  }

  private void probe(TargetId target, Entry entry, long nowMs) {
    boolean often = entry.evidence.isSuspected() || !entry.evidence.incarnation().isKnown();
    entry.probing = true;
    entry.probeAtMs = nowMs + context.timings().probeMs() * (often ? 1 : IDLE_PROBE_FACTOR);
    context
        .outbox()
        .probe(
            target,
            nowMs,
            (reply, repliedAtMs) -> {
              entry.probing = false;
              onReply(reply, nowMs, repliedAtMs);
            });
  }

  private double warmShare(Entry entry, long nowMs) {
    if (entry.coldSinceMs == Long.MIN_VALUE) {
      return 1;
    }
    return PlacementSettings.of(service.objective()).warmShare(nowMs - entry.coldSinceMs);
  }

  private void touch(long nowMs) {
    changedAtMs = nowMs;
    changed = true;
  }

  private static final class Entry {
    private final TargetEvidence evidence;
    private Instance instance;
    private long coldSinceMs = Long.MIN_VALUE;
    private long probeAtMs = Long.MIN_VALUE;
    private long answeredSentAtMs = Long.MIN_VALUE;
    private boolean probing;
    private boolean inTable;

    Entry(TargetEvidence evidence) {
      this.evidence = evidence;
    }
  }
}
