/** Measures recovery with the real programs as processes on loopback. */
package io.cuminvalve.demo.experiment;
