package io.cuminvalve.cli.fleet;

import java.net.InetSocketAddress;

/**
 * Calls admin ports.
 *
 * @since 0.1
 */
public interface AdminClient extends AutoCloseable {

  /**
   * Reads a report.
   *
   * @param address the admin port; not null
   * @param pathAndQuery what to ask for; not null
   * @param type the type of the answer; not null
   * @param <T> the type of the answer
   * @return the answer
   * @throws io.cuminvalve.kernel.CodedException with code UNAVAILABLE if nobody answers, with the
   *     answer's code if it is an error, with PROTOCOL if it can't be understood
   */
  <T> T get(InetSocketAddress address, String pathAndQuery, Class<T> type);

  /**
   * Sends an order.
   *
   * @param address the admin port; not null
   * @param path where to; not null
   * @param body a record; not null
   * @param type the type of the answer; not null
   * @param <T> the type of the answer
   * @return the answer
   * @throws io.cuminvalve.kernel.CodedException as {@link #get}
   */
  <T> T post(InetSocketAddress address, String path, Object body, Class<T> type);

  /** Closes connections. */
  @Override
  void close();
}
