/** Port to the registry in which targets announce themselves. */
package io.cuminvalve.ports.fleet;
