package io.cuminvalve.testkit.target;

/**
 * The fault switches of a target stand-in. Bean style, so that they can be set over HTTP as JSON.
 *
 * @since 0.1
 */
public final class TargetFaults {

  private volatile long extraWorkMs;
  private volatile boolean answersCut;
  private volatile boolean answersDropped;
  private volatile boolean misleadingHealth;
  private volatile boolean refusingWhileDraining;

  /** Creates switches that are all off. */
  public TargetFaults() {}

  /**
   * Returns how much longer each request runs.
   *
   * @return milliseconds
   */
  public long getExtraWorkMs() {
    return extraWorkMs;
  }

  /**
   * Lets each request run longer.
   *
   * @param extraWorkMs milliseconds
   */
  public void setExtraWorkMs(long extraWorkMs) {
    this.extraWorkMs = extraWorkMs;
  }

  /**
   * Tells whether answers break off in the middle.
   *
   * @return true if they do
   */
  public boolean isAnswersCut() {
    return answersCut;
  }

  /**
   * Lets answers break off in the middle, after the request ran.
   *
   * @param answersCut true to switch it on
   */
  public void setAnswersCut(boolean answersCut) {
    this.answersCut = answersCut;
  }

  /**
   * Tells whether connections are closed in place of an answer.
   *
   * @return true if they are
   */
  public boolean isAnswersDropped() {
    return answersDropped;
  }

  /**
   * Closes the connection in place of an answer, after the request ran.
   *
   * @param answersDropped true to switch it on
   */
  public void setAnswersDropped(boolean answersDropped) {
    this.answersDropped = answersDropped;
  }

  /**
   * Tells whether the health endpoint claims to be ready and idle whatever happens.
   *
   * @return true if it does
   */
  public boolean isMisleadingHealth() {
    return misleadingHealth;
  }

  /**
   * Lets the health endpoint claim to be ready and idle whatever happens.
   *
   * @param misleadingHealth true to switch it on
   */
  public void setMisleadingHealth(boolean misleadingHealth) {
    this.misleadingHealth = misleadingHealth;
  }

  /**
   * Tells whether a draining target refuses new requests by itself.
   *
   * @return true if it does
   */
  public boolean isRefusingWhileDraining() {
    return refusingWhileDraining;
  }

  /**
   * Lets a draining target refuse new requests by itself.
   *
   * @param refusingWhileDraining true to switch it on
   */
  public void setRefusingWhileDraining(boolean refusingWhileDraining) {
    this.refusingWhileDraining = refusingWhileDraining;
  }
}
