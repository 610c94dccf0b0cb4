package io.cuminvalve.core.buffer;

/**
 * Divides the memory for buffered bodies among all requests in progress.
 *
 * <p>A fixed bound for each body would have to be small enough for the largest number of requests,
 * or would not bound their sum. Here bodies share one budget. The first {@link #FLOOR_BYTES} of
 * each body are always granted, so that bodies which never end cannot displace small ones. Beyond
 * that, a response may hold at most as much as it leaves free for others (dynamic threshold), and
 * at most an eighth of the budget; request bodies leave a quarter of it to responses. The sum
 * therefore never exceeds the budget by more than {@link #FLOOR_BYTES} for each body in progress.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2
 */
public final class BufferBudget {

  /** How much of each body is granted in any case; bytes. */
  public static final int FLOOR_BYTES = 8 * 1024;

  private static final int HEAP_PARTS = 5;
  private static final int BUDGET_PARTS = 3;
  private static final int RESPONSES_PER_BUDGET = 8;
  private static final int RESERVES_PER_BUDGET = 4;

  private final long totalBytes;
  private long usedBytes;

  /** The answer to a request for memory. */
  public enum Grant {
    /** The bytes are granted. */
    GRANTED,
    /** A body of this size is never granted. */
    TOO_LARGE,
    /** Other bodies hold too much for now. */
    NO_ROOM
  }

  /**
   * Creates a budget of which nothing is used.
   *
   * @param totalBytes its size; bytes, at least 0
   */
  public BufferBudget(long totalBytes) {
    this.totalBytes = totalBytes;
  }

  /**
   * Creates the budget of a process, which leaves two fifths of its heap to everything else.
   *
   * @param heapBytes the maximum size of the heap; bytes
   * @return never null
   */
  public static BufferBudget ofHeap(long heapBytes) {
    return new BufferBudget(heapBytes / HEAP_PARTS * BUDGET_PARTS);
  }

  /**
   * Takes memory for a response.
   *
   * @param heldBytes what the response holds already; bytes
   * @param moreBytes what it needs in addition; bytes
   * @return GRANTED if the bytes were taken; otherwise nothing was
   */
  public Grant takeForResponse(long heldBytes, long moreBytes) {
    Grant grant = checkResponse(heldBytes, moreBytes);
    return take(grant, moreBytes);
  }

  /**
   * Checks whether a response of a declared size would be refused by now, without taking memory.
   *
   * @param sizeBytes its declared size; bytes
   * @return GRANTED if it would not
   */
  public Grant checkResponse(long sizeBytes) {
    return checkResponse(0, sizeBytes);
  }

  private Grant checkResponse(long heldBytes, long moreBytes) {
    // Both terms may be declared by a peer, so their sum could overflow.
    if (moreBytes > maxResponseBytes() - heldBytes && moreBytes > FLOOR_BYTES - heldBytes) {
      return Grant.TOO_LARGE;
    }
    long sizeBytes = heldBytes + moreBytes;
    boolean fits = sizeBytes <= FLOOR_BYTES || sizeBytes <= freeBytes() - moreBytes;
    return fits ? Grant.GRANTED : Grant.NO_ROOM;
  }

  /**
   * Takes memory for the body of a request.
   *
   * @param heldBytes what the body holds already; bytes
   * @param moreBytes what it needs in addition; bytes
   * @return GRANTED if the bytes were taken; otherwise nothing was
   */
  public Grant takeForRequest(long heldBytes, long moreBytes) {
    return take(checkRequest(heldBytes, moreBytes), moreBytes);
  }

  /**
   * Checks whether a request body of a declared size would be refused by now, without taking
   * memory.
   *
   * @param sizeBytes its declared size; bytes
   * @return GRANTED if it would not
   */
  public Grant checkRequest(long sizeBytes) {
    return checkRequest(0, sizeBytes);
  }

  private Grant checkRequest(long heldBytes, long moreBytes) {
    boolean fits =
        moreBytes <= FLOOR_BYTES - heldBytes
            || moreBytes <= freeBytes() - totalBytes / RESERVES_PER_BUDGET;
    return fits ? Grant.GRANTED : Grant.NO_ROOM;
  }

  private Grant take(Grant grant, long moreBytes) {
    if (grant == Grant.GRANTED) {
      usedBytes += moreBytes;
    }
    return grant;
  }

  /**
   * Returns memory.
   *
   * @param bytes how much was taken; bytes
   */
  public void release(long bytes) {
    usedBytes -= bytes;
  }

  /**
   * Returns how much is taken.
   *
   * @return bytes, at least 0
   */
  public long usedBytes() {
    return usedBytes;
  }

  /**
   * Returns the size of the largest response that is ever granted.
   *
   * @return bytes
   */
  public long maxResponseBytes() {
    return totalBytes / RESPONSES_PER_BUDGET;
  }

  private long freeBytes() {
    return totalBytes - usedBytes;
  }
}
