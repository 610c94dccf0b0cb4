/** The subcommands {@code load} and {@code replay}. */
package io.cuminvalve.load.command;
