package io.cuminvalve.router.target;

import java.util.function.IntSupplier;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.DuplexConnectionPool;

/** A connection pool whose bound may change while it is in use. */
final class TargetConnectionPool extends DuplexConnectionPool {

  private final IntSupplier limit;

  TargetConnectionPool(Destination destination, int maxConnections, IntSupplier limit) {
    super(destination, maxConnections);
    this.limit = limit;
  }

  @Override
  protected void tryCreate(boolean create) {
    // The library's own bound is fixed when the pool is made; this one follows the configuration.
    if (getConnectionCount() < limit.getAsInt()) {
      super.tryCreate(create);
    }
  }
}
