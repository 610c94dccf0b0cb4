/** Orders and questions to targets, behind a port. */
package io.cuminvalve.ports.target;
