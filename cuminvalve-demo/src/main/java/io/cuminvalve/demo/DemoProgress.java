package io.cuminvalve.demo;

/** Shows what the demo does while it runs. */
@FunctionalInterface
interface DemoProgress {

  /** Shows one line. */
  void show(String line);
}
