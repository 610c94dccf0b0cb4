package io.cuminvalve.core.authority.internal;

/**
 * The safety rules of the protocol, each of which a test can take out to show that it is needed.
 *
 * <p>Production code uses {@link #ALL} and nothing else.
 *
 * @param twoRounds a version is closed only after a second round of heartbeats
 * @param sameIncarnation the second round must come from the same runs of the witnesses
 * @param learnBeforeSpeaking a restarted router is no witness and dispatches nothing until it has
 *     learned
 * @param margin clock rates are allowed for
 * @param checkLeaseAtDispatch the lease is compared with the clock at each dispatch
 * @param refuseOlderVersions a router never installs a lower version
 * @param fenceTerms a router that saw a term refuses tables of lower terms
 * @param proveStopped the previous owner must be proved stopped before the next grant
 * @param rememberGrants a restarted router reports the grants that its last run may have issued
 * @param waitForRouters closing waits for every registered router or for leases to lapse
 * @param readBackUnknownWrites a write without reply is resolved by reading back
 * @param respectBase a stored table is dropped if a standby was activated since its base version
 * @param permitOrders targets get orders only while witnesses confirm the term
 * @since 0.1
 */
public record SafetyRules(
    boolean twoRounds,
    boolean sameIncarnation,
    boolean learnBeforeSpeaking,
    boolean margin,
    boolean checkLeaseAtDispatch,
    boolean refuseOlderVersions,
    boolean fenceTerms,
    boolean proveStopped,
    boolean rememberGrants,
    boolean waitForRouters,
    boolean readBackUnknownWrites,
    boolean respectBase,
    boolean permitOrders) {

  /** Every rule in force. */
  public static final SafetyRules ALL =
      new SafetyRules(true, true, true, true, true, true, true, true, true, true, true, true, true);
}
