/** The whole system in one process on loopback. */
package io.cuminvalve.demo;
