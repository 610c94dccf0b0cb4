/** What operators see of a controller and ask of it. */
package io.cuminvalve.controller.operation;
