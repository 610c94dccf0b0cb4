/** Runs each stand-in as a process of its own, so that it can really be killed or stopped. */
package io.cuminvalve.testkit.process;
