/** The admin port of each process: health, metrics, status and operators' requests. */
package io.cuminvalve.admin;
