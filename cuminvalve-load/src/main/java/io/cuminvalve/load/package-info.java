/** Open-loop load, replay of traces and reports. */
package io.cuminvalve.load;
