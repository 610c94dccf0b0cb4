package io.cuminvalve.router;

import io.cuminvalve.admin.AdminServer;
import io.cuminvalve.kernel.ManagedService;
import io.cuminvalve.kernel.ServiceName;
import io.cuminvalve.router.caller.CallerServer;
import io.cuminvalve.router.control.ControlLoop;
import io.cuminvalve.router.target.TargetClient;
import io.cuminvalve.router.wiring.PeerService;
import io.cuminvalve.router.wiring.RequestTimers;

/** The names under which the services of a router find each other. */
final class RouterServices {

  static final ServiceName<ManagedService> PLATFORM =
      new ServiceName<>("platform-client", ManagedService.class);
  static final ServiceName<RequestTimers> TIMERS =
      new ServiceName<>("request-timers", RequestTimers.class);
  static final ServiceName<TargetClient> TARGETS =
      new ServiceName<>("target-client", TargetClient.class);
  static final ServiceName<PeerService> PEERS = new ServiceName<>("peers", PeerService.class);
  static final ServiceName<ControlLoop> CONTROL =
      new ServiceName<>("control-loop", ControlLoop.class);
  static final ServiceName<CallerServer> CALLERS =
      new ServiceName<>("caller-server", CallerServer.class);
  static final ServiceName<AdminServer> ADMIN =
      new ServiceName<>("admin-server", AdminServer.class);

  private RouterServices() {}
}
