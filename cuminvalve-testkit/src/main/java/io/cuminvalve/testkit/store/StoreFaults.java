package io.cuminvalve.testkit.store;

/**
 * The fault switches of the store stand-in. Bean style, so that they can be set over HTTP as JSON.
 *
 * @since 0.1
 */
public final class StoreFaults {

  private volatile boolean down;
  private volatile boolean silent;
  private volatile long delayMs;
  private volatile int lostWriteReplies;
  private volatile boolean staleWatch;

  /** Creates switches that are all off. */
  public StoreFaults() {}

  /**
   * Tells whether every connection is closed without an effect or an answer.
   *
   * @return true if the store is down
   */
  public boolean isDown() {
    return down;
  }

  /**
   * Closes every connection without an effect or an answer.
   *
   * @param down true to switch it on
   */
  public void setDown(boolean down) {
    this.down = down;
  }

  /**
   * Tells whether requests are swallowed.
   *
   * @return true if no request has an effect or gets an answer
   */
  public boolean isSilent() {
    return silent;
  }

  /**
   * Swallows requests: no effect, no answer, the connection stays open.
   *
   * @param silent true to switch it on
   */
  public void setSilent(boolean silent) {
    this.silent = silent;
  }

  /**
   * Returns how long each answer is held back after its effect.
   *
   * @return milliseconds
   */
  public long getDelayMs() {
    return delayMs;
  }

  /**
   * Holds back each answer after its effect.
   *
   * @param delayMs milliseconds
   */
  public void setDelayMs(long delayMs) {
    this.delayMs = delayMs;
  }

  /**
   * Returns how many of the next writes take effect without a reply.
   *
   * @return a count
   */
  public int getLostWriteReplies() {
    return lostWriteReplies;
  }

  /**
   * Lets the next writes take effect without a reply.
   *
   * @param lostWriteReplies how many
   */
  public synchronized void setLostWriteReplies(int lostWriteReplies) {
    this.lostWriteReplies = lostWriteReplies;
  }

  /**
   * Tells whether watches answer at once with the value before the newest.
   *
   * @return true if they do
   */
  public boolean isStaleWatch() {
    return staleWatch;
  }

  /**
   * Lets watches answer at once with the value before the newest.
   *
   * @param staleWatch true to switch it on
   */
  public void setStaleWatch(boolean staleWatch) {
    this.staleWatch = staleWatch;
  }

  synchronized boolean takeLostWriteReply() {
    if (lostWriteReplies == 0) {
      return false;
    }
    lostWriteReplies--;
    return true;
  }
}
