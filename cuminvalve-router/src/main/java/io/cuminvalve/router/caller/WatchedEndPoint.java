package io.cuminvalve.router.caller;

import io.cuminvalve.kernel.UpperTime;
import org.eclipse.jetty.io.EndPoint;

/**
 * Where a request of a caller comes from: its connection, or its place among several requests that
 * are handled at a time on one connection.
 *
 * @since 0.3
 */
public interface WatchedEndPoint extends EndPoint {

  /**
   * Returns a moment before which no byte of a request had arrived, however late it was accepted or
   * read.
   *
   * @param firstByteNs when its first byte was parsed; a reading of the nanosecond clock
   * @return {@link UpperTime#NEVER} if that is not known; never null
   */
  UpperTime arrivedAfter(long firstByteNs);

  /**
   * Looks whether the caller has ended the stream, also if nobody has been told of it yet.
   *
   * @return false if the caller is gone
   */
  boolean isCallerPresent();

  /**
   * Watches for the end of the stream.
   *
   * @param callback called at most once, if the caller goes away before the request has its
   *     outcome; not null
   */
  void watch(Runnable callback);

  /** Stops telling; called when the request has its outcome. */
  void unwatch();

  /**
   * Returns the connection of the caller.
   *
   * @return never null
   */
  EndPoint connection();

  /**
   * Lets the response of this request close the connection, unless later requests of the connection
   * are in progress. No later one is read if it may.
   *
   * @return whether the response may close the connection
   */
  boolean claimLast();
}
