package io.cuminvalve.gateway.traffic;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

/**
 * Rejects the first attempts of each request, then runs it, and sends rejections a second time,
 * late: before the response to a later request on the same connection.
 */
final class LateRejections implements RawTarget.Script {

  private final IntSupplier rejectionsPerRequest;
  private final IntSupplier status;
  private final BooleanSupplier copied;
  private final IntSupplier requestsBetween;
  private final Map<String, Integer> rejectionsLeft = new HashMap<>();
  private final Map<Integer, Deque<Copy>> copiesByConnection = new HashMap<>();
  private final List<String> runs = new ArrayList<>();
  private int sentCopies;

  /**
   * Creates the script of one target. No supplier is called by two threads at a time.
   *
   * @param rejectionsPerRequest how many attempts of a request are rejected; not null
   * @param status the status of a rejection; not null
   * @param copied whether a rejection is sent a second time; not null
   * @param requestsBetween how many other requests on the connection are answered before the copy;
   *     not null
   */
  LateRejections(
      IntSupplier rejectionsPerRequest,
      IntSupplier status,
      BooleanSupplier copied,
      IntSupplier requestsBetween) {
    this.rejectionsPerRequest = rejectionsPerRequest;
    this.status = status;
    this.copied = copied;
    this.requestsBetween = requestsBetween;
  }

  @Override
  public synchronized String responseTo(int connection, String id) {
    Deque<Copy> copies = copiesByConnection.computeIfAbsent(connection, any -> new ArrayDeque<>());
    StringBuilder sent = new StringBuilder();
    for (Copy copy : List.copyOf(copies)) {
      if (copy.requestsLeft == 0) {
        copies.remove(copy);
        sent.append(copy.response);
        sentCopies++;
      } else {
        copy.requestsLeft--;
      }
    }
    return sent.append(respond(copies, id)).toString();
  }

  private String respond(Deque<Copy> copies, String id) {
    int left = rejectionsLeft.computeIfAbsent(id, any -> rejectionsPerRequest.getAsInt());
    if (left == 0) {
      runs.add(id);
      return RawTarget.success(id);
    }
    rejectionsLeft.put(id, left - 1);
    String rejection = RawTarget.rejection(status.getAsInt(), id);
    if (copied.getAsBoolean()) {
      copies.add(new Copy(rejection, requestsBetween.getAsInt()));
    }
    return rejection;
  }

  /** Returns the ids of the requests that ran, in order; one that ran twice is there twice. */
  synchronized List<String> runs() {
    return List.copyOf(runs);
  }

  /** Returns how many rejections have been sent a second time. */
  synchronized int sentCopies() {
    return sentCopies;
  }

  /** A rejection that will be sent a second time. */
  private static final class Copy {

    private final String response;
    private int requestsLeft;

    Copy(String response, int requestsLeft) {
      this.response = response;
      this.requestsLeft = requestsLeft;
    }
  }
}
