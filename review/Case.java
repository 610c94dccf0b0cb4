package review;

/** A case that plays a small deployment and judges one rule. */
@FunctionalInterface
interface Case {

  /** The rule held. */
  int HELD = 0;

  /** The rule was broken. */
  int BROKEN = 1;

  /** The case could not run. */
  int NOT_RUN = 2;

  /**
   * Plays the case.
   *
   * @param trouble whether the disruption is played, too
   * @return {@link #HELD}, {@link #BROKEN} or {@link #NOT_RUN}
   */
  int play(Record record, boolean trouble) throws Exception;

  /** Plays a case and ends this process with its result. */
  static void run(String recordPath, Case played) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result = NOT_RUN;
    try (Record record = new Record(recordPath)) {
      record.tell("%s the disruption", trouble ? "with" : "without");
      try {
        result = played.play(record, trouble);
      } catch (Exception failure) {
        record.tell("the case could not run: %s", failure);
      }
      record.tell("exit %d", result);
    } catch (Exception failure) {
      System.out.println("no record can be written: " + failure);
    }
    Runtime.getRuntime().exit(result);
  }
}
