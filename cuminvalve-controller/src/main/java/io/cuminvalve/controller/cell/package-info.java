/** Carries out the decisions of the cells of a controller. */
package io.cuminvalve.controller.cell;
