/** Port to the registry in which targets register. */
package io.cuminvalve.ports.fleet;
