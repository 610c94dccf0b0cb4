package io.cuminvalve.cli.story;

import java.time.LocalTime;
import java.time.format.DateTimeParseException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the lines of one log, in their order. */
final class LineParser {

  /** What a collector puts before a line, the time, the level, the event, the pairs. */
  private static final Pattern LINE =
      Pattern.compile(
          "(?<origin>.*?)(?<time>\\d\\d:\\d\\d:\\d\\d\\.\\d{3}) \\w+"
              + " event=(?<event>\\S+)(?<rest>.*)");

  /** A value is quoted, or ends where the next name begins. */
  private static final Pattern PAIR = Pattern.compile("(\\w+)=(\"[^\"]*\"|.*?)(?=\\s+\\w+=|\\s*$)");

  private static final Pattern NUMBER = Pattern.compile("-?\\d+(\\.\\d+)?");
  private static final Pattern BLANKS = Pattern.compile("\\s+");
  private static final String STATUS = "status=";
  private static final int NS_PER_MS = 1_000_000;

  private final DayAxis axis;
  private String process;

  /** Creates a parser; a line without a name before it is of the process that started last. */
  LineParser(String logName, DayAxis axis) {
    this.process = logName;
    this.axis = axis;
    axis.beginLog();
  }

  /** Returns empty if the line is no decision. */
  Optional<LogLine> parse(String text) {
    Matcher line = LINE.matcher(text);
    if (!line.matches()) {
      return Optional.empty();
    }
    Optional<LocalTime> time = timeOf(line.group("time"));
    return time.map(known -> decision(line, axis.place(known.toNanoOfDay() / NS_PER_MS)));
  }

  private LogLine decision(Matcher line, long atMs) {
    String event = line.group("event");
    Map<String, String> values = pairs(line.group("rest"));
    String[] origin = BLANKS.split(line.group("origin").trim());
    String last = origin[origin.length - 1];
    boolean named = !last.isEmpty() && !NUMBER.matcher(last).matches();
    if (named) {
      process = last;
    } else if (event.equals("started")) {
      process = values.getOrDefault("process", process);
    }
    String second = NUMBER.matcher(origin[0]).matches() ? origin[0] : LogLine.NONE;
    return new LogLine(atMs, second, line.group("time"), process, event, values);
  }

  private static Map<String, String> pairs(String text) {
    Map<String, String> values = new LinkedHashMap<>();
    Matcher pair = PAIR.matcher(text.trim());
    while (pair.find()) {
      values.putIfAbsent(pair.group(1), pair.group(2));
    }
    String why = values.getOrDefault("why", "");
    if (why.startsWith(STATUS)) {
      values.put("status", why.substring(STATUS.length()));
      values.put("why", values.getOrDefault("reason", LogLine.NONE));
      values.remove("reason");
    }
    return values;
  }

  private static Optional<LocalTime> timeOf(String text) {
    try {
      return Optional.of(LocalTime.parse(text));
    } catch (DateTimeParseException noTime) {
      return Optional.empty();
    }
  }
}
