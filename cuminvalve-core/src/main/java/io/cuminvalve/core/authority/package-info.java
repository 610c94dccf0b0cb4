/**
 * Who may route to which target: the authority protocol as decisions without I/O.
 *
 * <p>{@link io.cuminvalve.core.authority.RouterCell} decides for a router, {@link
 * io.cuminvalve.core.authority.ControllerCell} for a controller. Both take events with the current
 * time and return effects that the process carries out. docs/DESIGN.md section 3 has the protocol.
 */
package io.cuminvalve.core.authority;
