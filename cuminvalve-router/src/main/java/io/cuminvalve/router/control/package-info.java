/**
 * The control thread of a router: the authority decisions of each cell, messages of other
 * processes, and the configuration in force.
 *
 * @since 0.1
 */
package io.cuminvalve.router.control;
