/** The inventory exported by operators: data centres, services, instances and their capacity. */
package io.cuminvalve.core.inventory;
