/** Messages of the admin ports, shared by the processes that answer and the command line. */
package io.cuminvalve.config.admin;
