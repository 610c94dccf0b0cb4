package io.cuminvalve.core.authority.internal;

/**
 * What a router knows of the holder's address.
 *
 * @since 0.1
 */
public final class HolderLink {

  private static final int SILENT_HEARTBEATS = 4;

  private final long silentMs;
  private final long retryMs;
  private String address = "";
  private long heardAtMs = Long.MIN_VALUE;
  private long askedAtMs = Long.MIN_VALUE;
  private long introducedAtMs = Long.MIN_VALUE;

  /**
   * Creates a link without an address.
   *
   * @param heartbeatMs time between two heartbeats of a holder
   */
  public HolderLink(long heartbeatMs) {
    this.silentMs = SILENT_HEARTBEATS * heartbeatMs;
    this.retryMs = 2 * heartbeatMs;
  }

  /**
   * Returns the address of the holder.
   *
   * @return empty if unknown
   */
  public String address() {
    return address;
  }

  /**
   * Records a heartbeat of the holder.
   *
   * @param from its address; not null
   * @param nowMs the current time
   */
  public void onHeard(String from, long nowMs) {
    address = from;
    heardAtMs = nowMs;
  }

  /**
   * Records an address from the store or another process, right or not.
   *
   * @param suggested the address; not null
   * @return whether it is another one
   */
  public boolean onSuggested(String suggested) {
    boolean changed = !suggested.isEmpty() && !suggested.equals(address);
    if (changed) {
      address = suggested;
      introducedAtMs = Long.MIN_VALUE;
    }
    return changed;
  }

  /**
   * Tells whether the holder's address should be looked up now; counts as asked.
   *
   * @param nowMs the current time
   * @return true if the holder has been silent and the last look-up is a while ago
   */
  public boolean shouldFind(long nowMs) {
    if (!isPast(heardAtMs, silentMs, nowMs) || !isPast(askedAtMs, retryMs, nowMs)) {
      return false;
    }
    askedAtMs = nowMs;
    return true;
  }

  /**
   * Tells whether the router should introduce itself now; counts as done.
   *
   * @param nowMs the current time
   * @return true if an address is known and the last introduction is a while ago
   */
  public boolean shouldIntroduce(long nowMs) {
    if (address.isEmpty() || !isPast(introducedAtMs, retryMs, nowMs)) {
      return false;
    }
    introducedAtMs = nowMs;
    return true;
  }

  private static boolean isPast(long sinceMs, long intervalMs, long nowMs) {
    return sinceMs == Long.MIN_VALUE || nowMs - sinceMs >= intervalMs;
  }
}
