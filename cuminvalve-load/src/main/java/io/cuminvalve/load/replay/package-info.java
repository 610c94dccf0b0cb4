/** Reads recorded traces and compares their replay with stated outcomes. */
package io.cuminvalve.load.replay;
