package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.lease.RangeRoute;
import java.util.List;

/**
 * Where the keys of a service are.
 *
 * @param service the service; not null
 * @param ranges in the order of keys; not null
 * @since 0.2
 */
public record ServiceRanges(ServiceId service, List<RangeRoute> ranges) {

  /** Copies the list. */
  public ServiceRanges {
    ranges = List.copyOf(ranges);
  }
}
