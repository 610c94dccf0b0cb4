/** The planning steps of the balancing planner. */
package io.cuminvalve.core.placement.internal;
