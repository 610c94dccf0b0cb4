/** Sends operations at their intended times, whether or not earlier ones were answered. */
package io.cuminvalve.load.run;
