package io.cuminvalve.gateway.traffic;

import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.router.caller.WatchedEndPoint;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * A request of a caller from the moment at which the server hands it over until its response has
 * been written.
 */
final class RequestInProgress {

  private final RequestsInProgress all;
  private final Request request;
  private final Response response;
  private final Callback callback;
  private final UpperTime arrived;
  private volatile RequestPhase phase = RequestPhase.ROUTING;
  private Runnable ender = () -> {};
  private boolean endedEarly;
  private boolean ended;
  private CompletableFuture<BufferedBody> body = new CompletableFuture<>();

  /**
   * Creates a request in progress.
   *
   * @param all the requests in progress, to which this one belongs until it ends; not null
   * @param request the server's request; not null
   * @param response the server's response; not null
   * @param callback completes the request at the server; not null
   * @param arrived the earliest time at which the request may have arrived; not null
   */
  RequestInProgress(
      RequestsInProgress all,
      Request request,
      Response response,
      Callback callback,
      UpperTime arrived) {
    this.request = request;
    this.response = response;
    this.all = all;
    this.callback = Callback.from(this::end, callback);
    this.arrived = arrived;
  }

  Request request() {
    return request;
  }

  Response response() {
    return response;
  }

  /** Returns the callback that completes the request; it is in progress until then. */
  Callback callback() {
    return callback;
  }

  UpperTime arrived() {
    return arrived;
  }

  /** Returns the connection of the request. */
  EndPoint endPoint() {
    return endPointOf(request);
  }

  /** Returns the connection of a request, which other requests may share. */
  static EndPoint endPointOf(Request request) {
    EndPoint place = placeOf(request);
    return place instanceof WatchedEndPoint watched ? watched.connection() : place;
  }

  /** Returns where the server has read a request from. */
  static EndPoint placeOf(Request request) {
    return request.getConnectionMetaData().getConnection().getEndPoint();
  }

  /** Lets the response close the connection, unless later requests of it are in progress. */
  static boolean claimLast(Request request) {
    return !(placeOf(request) instanceof WatchedEndPoint watched) || watched.claimLast();
  }

  /**
   * Keeps the body until the request ends: then its reading ends, or its memory is released. Both
   * happen at once if the request has ended already.
   */
  void keep(CompletableFuture<BufferedBody> reading) {
    boolean late;
    synchronized (this) {
      body = reading;
      late = ended;
    }
    if (late) {
      release(reading);
    }
  }

  /** Removes the request from those in progress; has no effect the second time. */
  void end() {
    all.remove(this);
    CompletableFuture<BufferedBody> kept;
    synchronized (this) {
      ended = true;
      kept = body;
    }
    release(kept);
  }

  private static void release(CompletableFuture<BufferedBody> reading) {
    if (!reading.cancel(false)) {
      reading.thenAccept(BufferedBody::release);
    }
  }

  RequestPhase phase() {
    return phase;
  }

  /**
   * Enters the next phase, in which an early end writes the same response as in the one before.
   *
   * @param next the phase; not null
   * @return false if the request was ended early, so that nothing more may be done for it
   */
  synchronized boolean enter(RequestPhase next) {
    return enter(next, ender);
  }

  /**
   * Enters the next phase.
   *
   * @param next the phase; not null
   * @param onEndEarly writes the response if the request has to end in this phase; not null
   * @return false if the request was ended early, so that nothing more may be done for it
   */
  synchronized boolean enter(RequestPhase next, Runnable onEndEarly) {
    if (!endedEarly) {
      phase = next;
      ender = onEndEarly;
    }
    return !endedEarly;
  }

  /** Enters the last phase. Returns false if the request was ended early. */
  boolean enterAnswering() {
    return enter(RequestPhase.ANSWERING, () -> {});
  }

  /** Ends the request with a response of this gateway, unless a response is being written. */
  void endEarly() {
    Runnable chosen;
    synchronized (this) {
      if (endedEarly) {
        return;
      }
      endedEarly = true;
      chosen = ender;
    }
    chosen.run();
  }
}
