/** Output for people and machines. */
package io.cuminvalve.cli.console;
