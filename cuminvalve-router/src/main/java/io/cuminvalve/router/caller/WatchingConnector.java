package io.cuminvalve.router.caller;

import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.kernel.UpperTime;
import java.io.IOException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Collections;
import java.util.Map;
import java.util.WeakHashMap;
import java.util.concurrent.Executor;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Accepts callers' connections and makes each of them a {@link CallerEndPoint}.
 *
 * <p>One selector accepts and reads: so it is known since when a connection may have waited to be
 * accepted, and since when bytes may have waited to be read.
 *
 * @since 0.2
 */
public final class WatchingConnector extends ServerConnector {

  /** The selector accepts. */
  private static final int NO_ACCEPTORS = 0;

  private final MillisClock clock;
  private final ReadAheadCounts readAhead = new ReadAheadCounts();
  private final PipelineLimits limits;
  private final Map<SelectableChannel, UpperTime> acceptedAfter =
      Collections.synchronizedMap(new WeakHashMap<>());
  private volatile UpperTime nothingToAccept = UpperTime.NEVER;

  /**
   * Creates a connector.
   *
   * @param server the server that it belongs to; not null
   * @param clock the time; not null
   * @param protocols what callers may speak, the first one by default; not null
   */
  public WatchingConnector(Server server, MillisClock clock, ConnectionFactory... protocols) {
    this(server, clock, 0, protocols);
  }

  /**
   * Creates a connector that handles requests before earlier ones of their connection are answered.
   *
   * @param server the server that it belongs to; not null
   * @param clock the time; not null
   * @param maxReadAhead how many requests of a connection are handled behind the first one; 0 for
   *     none. If it is above 0, callers may speak HTTP/1.1 only
   * @param protocols what callers may speak, the first one by default; not null
   */
  public WatchingConnector(
      Server server, MillisClock clock, int maxReadAhead, ConnectionFactory... protocols) {
    super(server, NO_ACCEPTORS, 1, protocols);
    this.clock = clock;
    this.limits = new PipelineLimits(maxReadAhead, readAhead, this::handleAhead);
  }

  /** The server reads, parses and handles the request at once. */
  private void handleAhead(ReadAheadEndPoint endPoint) {
    Connection connection = getDefaultConnectionFactory().newConnection(this, endPoint);
    endPoint.setConnection(connection);
    if (connection instanceof Runnable reading) {
      reading.run();
    } else {
      throw new IllegalStateException("the protocol cannot be read ahead: " + connection);
    }
  }

  /**
   * Returns how many requests were handled before earlier ones of their connection were answered.
   *
   * @return at least 0, since the start
   */
  public long readAheadTotal() {
    return readAhead.total();
  }

  /**
   * Returns how many such requests are not answered yet.
   *
   * @return at least 0
   */
  public int readAheadInProgress() {
    return readAhead.inProgress();
  }

  /** Nobody can have connected before there is a port. */
  @Override
  public void open() throws IOException {
    nothingToAccept = clock.upper();
    super.open();
  }

  @Override
  protected SelectorManager newSelectorManager(
      Executor executor, Scheduler scheduler, int selectors) {
    return new Manager(executor, scheduler, selectors);
  }

  @Override
  protected SocketChannelEndPoint newEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key) {
    UpperTime after = acceptedAfter.remove(channel);
    CallerEndPoint endPoint =
        new CallerEndPoint(
            channel,
            (PolledSelector) selector,
            key,
            getScheduler(),
            getExecutor(),
            clock,
            after == null ? UpperTime.NEVER : after,
            limits);
    endPoint.setIdleTimeout(getIdleTimeout());
    return endPoint;
  }

  /** Notes for each connection when there was last none that waited to be accepted. */
  private final class Manager extends ServerConnectorManager {

    Manager(Executor executor, Scheduler scheduler, int selectors) {
      super(executor, scheduler, selectors);
    }

    @Override
    protected ManagedSelector newSelector(int id) {
      return new PolledSelector(this, id, clock, at -> nothingToAccept = at);
    }

    @Override
    protected SelectableChannel doAccept(SelectableChannel listener) throws IOException {
      UpperTime now = clock.upper();
      SelectableChannel accepted = super.doAccept(listener);
      if (accepted == null) {
        nothingToAccept = now;
      } else {
        acceptedAfter.put(accepted, nothingToAccept);
      }
      return accepted;
    }
  }
}
