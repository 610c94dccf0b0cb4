package io.cuminvalve.controller;

import io.cuminvalve.admin.AdminServer;
import io.cuminvalve.controller.wiring.ControlLoop;
import io.cuminvalve.kernel.ManagedService;
import io.cuminvalve.kernel.ServiceName;

/**
 * The names under which the services of a controller find each other.
 *
 * @since 0.1
 */
public final class ControllerServices {

  /** The client of the platform. */
  public static final ServiceName<ManagedService> PLATFORM =
      new ServiceName<>("platform", ManagedService.class);

  /** The network of our own processes. */
  public static final ServiceName<ManagedService> PEERS =
      new ServiceName<>("peers", ManagedService.class);

  /** The control thread. */
  public static final ServiceName<ControlLoop> CONTROL =
      new ServiceName<>("control", ControlLoop.class);

  /** The server towards operators. */
  public static final ServiceName<AdminServer> ADMIN =
      new ServiceName<>("admin", AdminServer.class);

  private ControllerServices() {}
}
