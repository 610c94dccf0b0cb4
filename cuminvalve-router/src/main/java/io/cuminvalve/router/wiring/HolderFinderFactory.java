package io.cuminvalve.router.wiring;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.router.control.HolderFinder;
import java.util.function.Consumer;

/** Makes the holder search of each cell. */
@FunctionalInterface
interface HolderFinderFactory {

  /** Makes the search of one cell, which reports to the consumer. */
  HolderFinder make(CellId cell, Consumer<String> onAddress);
}
