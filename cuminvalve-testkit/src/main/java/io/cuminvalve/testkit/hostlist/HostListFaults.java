package io.cuminvalve.testkit.hostlist;

/**
 * The fault switches of the host list.
 *
 * @since 0.1
 */
public final class HostListFaults {

  private volatile boolean down;
  private volatile long lagMs;
  private volatile boolean inverted;

  /** Creates switches that are all off. */
  public HostListFaults() {}

  /**
   * Tells whether connections are closed without an answer.
   *
   * @return true if the list is down
   */
  public boolean isDown() {
    return down;
  }

  /**
   * Closes connections without an answer.
   *
   * @param down true to switch it on
   */
  public void setDown(boolean down) {
    this.down = down;
  }

  /**
   * Returns how late changes show.
   *
   * @return milliseconds
   */
  public long getLagMs() {
    return lagMs;
  }

  /**
   * Sets how late changes show from now on.
   *
   * @param lagMs milliseconds
   */
  public void setLagMs(long lagMs) {
    this.lagMs = lagMs;
  }

  /**
   * Tells whether the list shows the wrong state of every host.
   *
   * @return true if it does
   */
  public boolean isInverted() {
    return inverted;
  }

  /**
   * Shows the wrong state of every host.
   *
   * @param inverted true to switch it on
   */
  public void setInverted(boolean inverted) {
    this.inverted = inverted;
  }
}
