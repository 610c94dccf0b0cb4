package io.cuminvalve.kernel;

/**
 * Provides a subcommand of the command-line tool.
 *
 * <p>Implementations are loaded by {@link java.util.ServiceLoader}, so that the tool needs no
 * dependency on the modules that extend it. They need a public constructor without arguments.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface CommandProvider {

  /**
   * Creates the subcommand.
   *
   * @return an object annotated with picocli's {@code Command}, which carries the name; implements
   *     {@code Callable<Integer>} and returns the exit status; never null
   */
  Object createCommand();
}
