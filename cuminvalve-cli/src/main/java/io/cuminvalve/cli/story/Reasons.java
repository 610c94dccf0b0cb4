package io.cuminvalve.cli.story;

import java.util.Map;

/** What the reasons in the log mean, for people. */
final class Reasons {

  private static final Map<String, String> BY_NAME =
      Map.ofEntries(
          Map.entry("no_configuration", "the gateway knew no configuration yet"),
          Map.entry("no_route", "no route of the configuration in force fits host and path"),
          Map.entry("no_key", "the service has keys and the request had no valid one"),
          Map.entry("body_too_large", "its body exceeds the bound of the configuration"),
          Map.entry("owner_unknown", "the gateway had not heard who owns the key"),
          Map.entry("key_on_the_move", "as the gateway knew it, no target had a lease of the key"),
          Map.entry("owner_busy", "the owner had as many requests as this gateway may send it"),
          Map.entry("owner_leaving", "the owner was leaving and the key not yet moved"),
          Map.entry("overload_busy", "the owner cannot bear all requests for the key"),
          Map.entry("no_target", "no target of the service was ready"),
          Map.entry("targets_busy", "every target had as many requests as this gateway may send"),
          Map.entry("refused_by_target", "targets proved several times that they did not run it"),
          Map.entry(
              "quarantined", "several targets ended under requests like it, so it is sent to none"),
          Map.entry(
              "target_limited",
              "all targets that may run it take a limited number of requests a second"),
          Map.entry("target_resting", "all targets that may run it had asked for rest"),
          Map.entry("owner_resting", "the owner had asked for rest"),
          Map.entry(
              "key_stuck",
              "the owner could not run it, and keys could not move while the store was away"),
          Map.entry(
              "service_evacuated",
              "operators had evacuated every data centre in which the service runs"),
          Map.entry(
              "unmet_data_centre_open",
              "its target was in a data centre that had just been evacuated"),
          Map.entry(
              "unknown_data_centre_open",
              "this gateway did not know recently enough which data centres were evacuated"),
          Map.entry(
              "limit_unanswered",
              "the holder did not answer in time whether its target, which has a limit, takes it"),
          Map.entry(
              "targets_unreachable",
              "this gateway had no path to its targets, and no peer was left that had one"),
          Map.entry("refused_by_peer", "peers that were to send it refused to, and it did not run"),
          Map.entry("peer_failed", "a peer that sent it got no usable answer"),
          Map.entry("peer_broken", "the peer that was to send it gave no usable answer"),
          Map.entry("timeout", "its time was over while a target worked on it"),
          Map.entry("timeout_unsent", "its time was over before it was sent"),
          Map.entry("foreign_answer", "the target answered another request on its connection"),
          Map.entry("cut_answer", "the target's answer broke off"),
          Map.entry("answer_too_large", "the target's answer was larger than any may be"),
          Map.entry("answer_no_room", "the gateway had no memory left for the target's answer"),
          Map.entry("body_no_room", "the gateway had no memory left for its body"),
          Map.entry("EOFException", "the target closed the connection without an answer"),
          Map.entry("SocketException", "the connection to the target was reset"),
          Map.entry("ConnectException", "the target accepts no connection"),
          Map.entry("SocketTimeoutException", "the target did not accept the connection in time"));

  private static final Map<String, String> BY_OUTCOME =
      Map.of(
          "DONE", "",
          "STALE", ", it knows a higher token",
          "REJECTED", ", it cannot carry it out",
          "OTHER_TARGET", ", another run has its address",
          "NOT_SENT", ", it accepts no connection",
          "UNANSWERED", ", it may be carried out later");

  private Reasons() {}

  /** Returns the meaning of a reason; of one that is not known, its name. */
  static String of(String reason) {
    return BY_NAME.getOrDefault(reason, "its attempt failed (" + reason + ")");
  }

  /** Returns the meaning of the outcome of an order to a target, as the end of a sentence. */
  static String ofOutcome(String outcome) {
    return BY_OUTCOME.getOrDefault(outcome, "");
  }
}
