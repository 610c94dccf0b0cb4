/** Puts the parts of a controller together. */
package io.cuminvalve.controller.wiring;
