package io.cuminvalve.testkit.ledger;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts executions of each operation and finds violations. All targets of a test share one.
 *
 * <p>Thread-safe. Records have to arrive in the order of their effect.
 *
 * @since 0.1
 */
public final class ExecutionLedger implements Ledger {

  /** How long a leaving target may still be given work, in milliseconds. */
  public static final long DEFAULT_DRAIN_GRACE_MS = 3_000;

  private static final int MAX_KEPT_VIOLATIONS = 1_000;

  private record ShardKey(ServiceId service, int shard) {}

  private record Owner(long token, TargetId target) {}

  private final long drainGraceMs;
  private final Map<String, Integer> executions = new HashMap<>();
  private final Map<ShardKey, Owner> owners = new HashMap<>();
  private final Map<TargetId, Long> executionsByTarget = new HashMap<>();
  private final List<Violation> violations = new ArrayList<>();
  private long violationCount;
  private long executionCount;

  /** Creates an empty ledger with the default grace for leaving targets. */
  public ExecutionLedger() {
    this(DEFAULT_DRAIN_GRACE_MS);
  }

  /**
   * Creates an empty ledger.
   *
   * @param drainGraceMs how long a leaving target may still be given work, in milliseconds
   */
  public ExecutionLedger(long drainGraceMs) {
    this.drainGraceMs = drainGraceMs;
  }

  @Override
  public synchronized void granted(GrantRecord grant) {
    ShardKey key = new ShardKey(grant.service(), grant.shard());
    Owner newest = owners.get(key);
    if (newest == null || grant.token() > newest.token()) {
      owners.put(key, new Owner(grant.token(), grant.target()));
    } else if (grant.token() == newest.token() && !grant.target().equals(newest.target())) {
      report(Violation.Kind.TOKEN_GRANTED_TWICE, grant + ", held by " + newest.target());
    }
  }

  @Override
  public synchronized void executed(ExecutionRecord execution) {
    executionCount++;
    executionsByTarget.merge(execution.target(), 1L, Long::sum);
    int times = executions.merge(execution.operation(), 1, Integer::sum);
    if (times > 1 && !execution.repeatable()) {
      report(Violation.Kind.DUPLICATE_EXECUTION, execution.toString());
    }
    if (!execution.granted()) {
      report(Violation.Kind.EXECUTED_WITHOUT_GRANT, execution.toString());
    }
    Owner newest = owners.get(new ShardKey(execution.service(), execution.shard()));
    if (newest != null && execution.token() < newest.token()) {
      report(Violation.Kind.OLDER_OWNER_EXECUTED, execution + ", newest " + newest);
    }
    if (execution.sinceDrainMs() > drainGraceMs) {
      report(Violation.Kind.WORK_AFTER_DRAIN, execution.toString());
    }
  }

  private void report(Violation.Kind kind, String details) {
    violationCount++;
    if (violations.size() < MAX_KEPT_VIOLATIONS) {
      violations.add(new Violation(kind, details));
    }
  }

  /**
   * Returns how often an operation began.
   *
   * @param operation the caller's name for it; not null
   * @return at least 0
   */
  public synchronized int executionsOf(String operation) {
    return executions.getOrDefault(operation, 0);
  }

  /**
   * Returns how many executions began in all.
   *
   * @return at least 0
   */
  public synchronized long executionCount() {
    return executionCount;
  }

  /**
   * Returns how many executions began at each target.
   *
   * @return a copy; never null
   */
  public synchronized Map<TargetId, Long> executionsByTarget() {
    return Map.copyOf(executionsByTarget);
  }

  /**
   * Returns how many violations were found, those no longer kept included.
   *
   * @return at least 0
   */
  public synchronized long violationCount() {
    return violationCount;
  }

  /**
   * Returns the first violations.
   *
   * @return a copy of at most a thousand; never null
   */
  public synchronized List<Violation> violations() {
    return List.copyOf(violations);
  }
}
