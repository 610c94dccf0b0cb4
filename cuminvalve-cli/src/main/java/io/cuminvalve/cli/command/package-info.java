/** The subcommands. */
package io.cuminvalve.cli.command;
