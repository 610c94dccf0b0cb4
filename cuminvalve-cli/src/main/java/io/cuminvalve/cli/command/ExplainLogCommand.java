package io.cuminvalve.cli.command;

import io.cuminvalve.cli.story.KeyStory;
import io.cuminvalve.cli.story.LogFiles;
import io.cuminvalve.cli.story.LogLine;
import io.cuminvalve.cli.story.RequestStory;
import java.io.InputStream;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Tells from the logs of gateways what became of a request, or who owned a key when.
 *
 * @since 0.2
 */
@Command(
    name = "log",
    description = "Tells from logs of gateways what became of a request or a key, and why.",
    footer = {
      "",
      "Needs no running system. Give the logs of all gateways: the holder of the term",
      "decides on keys, another gateway may have had the request. Without a file, or",
      "with a dash, standard input is read. Lines have no date: give less than half a",
      "day.",
      "",
      "Examples:",
      "  cuminvalve explain log --request 5d0c1f7e2a9b4836 gateway-*.log",
      "  cuminvalve explain log --key 25112 --service claims - < all.log"
    })
public final class ExplainLogCommand implements Callable<Integer> {

  private final CommandContext context;
  private final InputStream standardInput;

  @Mixin private OutputOptions output;

  @ArgGroup(multiplicity = "1")
  private Subject subject;

  @Parameters(paramLabel = "FILE", arity = "0..*", description = "Logs; - is standard input.")
  private List<String> files = List.of("-");

  /**
   * Creates the command.
   *
   * @param context what it depends on; not null
   * @param standardInput what is read if no file is given; not null
   */
  public ExplainLogCommand(CommandContext context, InputStream standardInput) {
    this.context = context;
    this.standardInput = standardInput;
  }

  /** What to explain: one of both. */
  private static final class Subject {

    @Option(names = "--request", paramLabel = "ID", description = "The caller's id of a request.")
    private String request;

    @ArgGroup(exclusive = false)
    private KeyOfService keyOfService;
  }

  /** A key and its service. */
  private static final class KeyOfService {

    @Option(names = "--key", paramLabel = "KEY", required = true, description = "A key.")
    private int key;

    @Option(
        names = "--service",
        paramLabel = "SERVICE",
        description = "The service of the key; needed if several have it.")
    private String service;
  }

  @Override
  public Integer call() {
    List<LogLine> lines = LogFiles.read(files, standardInput);
    if (subject.request != null) {
      RequestStory story = RequestStory.of(subject.request, lines);
      show(story, StoryText.of(story));
    } else {
      KeyStory story = keyStory(subject.keyOfService, lines);
      show(story, StoryText.of(story));
    }
    return 0;
  }

  private static KeyStory keyStory(KeyOfService asked, List<LogLine> lines) {
    String service = asked.service == null ? KeyStory.serviceOf(asked.key, lines) : asked.service;
    return KeyStory.of(asked.key, service, lines);
  }

  private void show(Object story, List<StoryText.Part> parts) {
    if (output.json()) {
      context.console().printJson(story);
      return;
    }
    for (StoryText.Part part : parts) {
      context.console().printHeading(part.heading());
      context.console().print(part.text());
    }
  }
}
