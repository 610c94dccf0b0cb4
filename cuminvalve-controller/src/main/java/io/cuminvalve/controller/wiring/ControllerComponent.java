package io.cuminvalve.controller.wiring;

import dagger.BindsInstance;
import dagger.Component;
import io.cuminvalve.admin.AdminServer;
import io.cuminvalve.config.settings.ControllerSettings;
import io.cuminvalve.kernel.SharedKey;
import io.cuminvalve.ports.host.HostList;
import io.cuminvalve.ports.store.KeyValueStore;
import io.cuminvalve.ports.target.TargetControl;
import io.cuminvalve.wire.TcpPeerNetwork;
import javax.inject.Singleton;

/**
 * The parts of one controller that its lifecycle needs.
 *
 * @since 0.1
 */
@Singleton
@Component(modules = {CellModule.class, OperationModule.class})
public interface ControllerComponent {

  /** Takes what the parts are made from. */
  @Component.Factory
  interface Factory {

    /**
     * Makes a component.
     *
     * @param settings the controller's settings; not null
     * @param sharedKey the key of our own processes; not null
     * @param store the platform's store; not null
     * @param hostList the platform's host list; not null
     * @param targets orders to targets; not null
     * @return a component whose parts do not run yet, but for the open peer port
     */
    ControllerComponent create(
        @BindsInstance ControllerSettings settings,
        @BindsInstance SharedKey sharedKey,
        @BindsInstance KeyValueStore store,
        @BindsInstance HostList hostList,
        @BindsInstance TargetControl targets);
  }

  /**
   * Returns the network of our own processes.
   *
   * @return always the same
   */
  TcpPeerNetwork network();

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
}
