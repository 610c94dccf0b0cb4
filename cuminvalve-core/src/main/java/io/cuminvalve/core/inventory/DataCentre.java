package io.cuminvalve.core.inventory;

import io.cuminvalve.core.id.DataCentreId;

/**
 * One data centre of the inventory.
 *
 * @param id its identifier; not null
 * @param region the region it is in; not null
 * @since 0.1
 */
public record DataCentre(DataCentreId id, String region) {}
