package io.cuminvalve.router.wiring;

import dagger.BindsInstance;
import dagger.Component;
import io.cuminvalve.admin.AdminServer;
import io.cuminvalve.config.settings.RouterSettings;
import io.cuminvalve.kernel.SharedKey;
import io.cuminvalve.ports.store.KeyValueStore;
import io.cuminvalve.router.caller.CallerServer;
import io.cuminvalve.router.control.ControlLoop;
import io.cuminvalve.router.observe.TraceSink;
import io.cuminvalve.router.target.TargetClient;
import io.cuminvalve.wire.TcpPeerNetwork;
import javax.inject.Singleton;

/**
 * The parts of one router that its lifecycle needs.
 *
 * @since 0.1
 */
@Singleton
@Component(modules = {TrafficModule.class, ControlModule.class, OperationsModule.class})
public interface RouterComponent {

  /** Takes what the parts are made from. */
  @Component.Factory
  interface Factory {

    /**
     * Makes a component.
     *
     * @param settings the router's settings; not null
     * @param sharedKey the key of our own processes; not null
     * @param store the platform's store; not null
     * @param trace takes finished requests; not null
     * @return a component whose parts do not run yet
     */
    RouterComponent create(
        @BindsInstance RouterSettings settings,
        @BindsInstance SharedKey sharedKey,
        @BindsInstance KeyValueStore store,
        @BindsInstance TraceSink trace);
  }

  /**
   * Returns the server towards callers.
   *
   * @return always the same
   */
  CallerServer callerServer();

  /**
   * Returns the client towards targets.
   *
   * @return always the same
   */
  TargetClient targetClient();

  /**
   * Returns the network of our own processes.
   *
   * @return always the same
   */
  TcpPeerNetwork peerNetwork();

  /**
   * Returns the loop of the control thread.
   *
   * @return always the same
   */
  ControlLoop controlLoop();

  /**
   * Returns the server towards operators.
   *
   * @return always the same
   */
  AdminServer adminServer();

  /**
   * Returns whether the router wants callers.
   *
   * @return always the same
   */
  Readiness readiness();

  /**
   * Returns the timers of requests.
   *
   * @return always the same
   */
  RequestTimers requestTimers();
}
