package io.cuminvalve.demo.experiment;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One Java program as a process that can be killed, paused and started again. */
final class ManagedProcess {

  private static final long END_TIMEOUT_MS = 5_000;
  private static final String MAX_HEAP = "-Xmx192m";

  private final String name;
  private final List<String> command;
  private final File log;
  private Process process;

  ManagedProcess(String name, Path folder, String mainClass, List<String> arguments) {
    this.name = name;
    this.log = folder.resolve(name + ".log").toFile();
    this.command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(
        List.of(
            MAX_HEAP,
            "-XX:+UseSerialGC",
            "-XX:+ExitOnOutOfMemoryError",
            "-XX:TieredStopAtLevel=1"));
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), mainClass));
    command.addAll(arguments);
  }

  String name() {
    return name;
  }

  void start() {
    try {
      process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
              .start();
    } catch (IOException e) {
      throw new CodedException(ErrorCode.UNAVAILABLE, "cannot start " + name, e);
    }
  }

  /** Ends the process at once, as by a power failure, and waits until it is gone. */
  void kill() {
    if (process == null) {
      return;
    }
    process.destroyForcibly();
    try {
      process.waitFor(END_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Stops the process in its tracks; its connections stay open. */
  void pause() {
    signal("-STOP");
  }

  /** Lets a paused process go on. */
  void resume() {
    signal("-CONT");
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  private void signal(String signal) {
    try {
      new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
    } catch (IOException e) {
      throw new CodedException(ErrorCode.INTERNAL, "cannot signal " + name, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
