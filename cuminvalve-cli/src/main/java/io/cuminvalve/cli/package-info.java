/** The operator command line. */
package io.cuminvalve.cli;
