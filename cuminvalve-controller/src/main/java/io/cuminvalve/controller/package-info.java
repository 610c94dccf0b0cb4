/** The controller process: holds the term of a cell or waits for it. */
package io.cuminvalve.controller;
