package io.cuminvalve.config.check.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.cuminvalve.config.check.Finding;
import io.cuminvalve.config.check.FindingCode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Checks what a schema can't say about rules.
 *
 * <p>Works on documents that fail their schema too: what is missing or malformed is left out.
 *
 * @since 0.1
 */
public final class RulesCheck {

  private final JsonDocument document;
  private final Set<String> services;
  private final List<Finding> findings = new ArrayList<>();
  private final List<Entry> earlier = new ArrayList<>();

  private RulesCheck(JsonDocument document, Set<String> services) {
    this.document = document;
    this.services = services;
    Identities.collect(document, "rules", findings);
  }

  private record Entry(String pointer, JsonNode rule, PathTemplate template) {

    String text(String field) {
      return rule.path(field).asText();
    }

    /** Tells whether two rules treat a request alike in what must not depend on their order. */
    boolean treatsLike(Entry other) {
      return rule.path("idempotent").equals(other.rule.path("idempotent"))
          && rule.path("service").equals(other.rule.path("service"))
          && rule.path("key").equals(other.rule.path("key"));
    }
  }

  /**
   * Checks rules.
   *
   * @param rules the rules; not null
   * @param inventory the inventory they belong to; not null
   * @return every fault; empty if there is none
   */
  public static List<Finding> check(JsonDocument rules, JsonDocument inventory) {
    RulesCheck check = new RulesCheck(rules, InventoryCheck.servicesOf(inventory));
    JsonNode list = rules.root().path("rules");
    for (int i = 0; i < list.size(); i++) {
      check.checkRule(list.get(i), "/rules/" + i);
    }
    return check.findings;
  }

  private void checkRule(JsonNode rule, String pointer) {
    checkService(rule, pointer);
    JsonNode template = rule.path("pathTemplate");
    if (!template.isTextual() || !template.asText().startsWith("/")) {
      return;
    }
    Entry entry = new Entry(pointer, rule, PathTemplate.parse(template.asText()));
    checkReachable(entry);
    checkKey(entry);
    earlier.forEach(other -> compare(other, entry));
    earlier.add(entry);
  }

  private void checkService(JsonNode rule, String pointer) {
    JsonNode service = rule.path("service");
    if (service.isTextual() && !services.contains(service.asText())) {
      findings.add(
          document.finding(
              pointer + "/service",
              FindingCode.UNKNOWN_SERVICE,
              "the inventory lists no service \"" + service.asText() + "\"",
              "Use one of " + services.stream().sorted().toList() + "."));
    }
  }

  private void checkReachable(Entry entry) {
    if (!entry.template().isReachable()) {
      findings.add(
          document.finding(
              entry.pointer() + "/pathTemplate",
              FindingCode.RULE_MATCHES_NOTHING,
              "no request path has the form " + entry.text("pathTemplate"),
              "Avoid empty segments, and write a parameter as a whole segment, like {claim}."));
    }
  }

  private void checkKey(Entry entry) {
    JsonNode key = entry.rule().path("key");
    String name = key.path("name").asText();
    if (key.path("place").asText().equals("PATH") && !entry.template().hasParameter(name)) {
      findings.add(
          document.finding(
              entry.pointer() + "/key/name",
              FindingCode.KEY_NOT_IN_PATH,
              "the path template has no segment {" + name + "}",
              "Name a segment in braces of " + entry.text("pathTemplate") + "."));
    }
  }

  private void compare(Entry first, Entry second) {
    checkKind(first, second);
    boolean sameMethod = first.text("method").equals(second.text("method"));
    if (!sameMethod || !first.template().overlaps(second.template())) {
      return;
    }
    boolean firstCovers = first.template().covers(second.template());
    boolean secondCovers = second.template().covers(first.template());
    boolean alike = first.treatsLike(second);
    if (!alike && firstCovers == secondCovers) {
      findings.add(contradiction(first, second, "can match the same request"));
    } else if (firstCovers) {
      findings.add(
          document.finding(
              second.pointer(),
              FindingCode.RULE_MATCHES_NOTHING,
              "rule %s before it takes every request it could match".formatted(first.text("id")),
              "Move it before that rule, or remove it: the first match wins."));
    }
  }

  private void checkKind(Entry first, Entry second) {
    boolean sameKind =
        first.text("kind").equals(second.text("kind"))
            && first.text("service").equals(second.text("service"))
            && !first.text("kind").isEmpty();
    if (sameKind && !first.rule().path("idempotent").equals(second.rule().path("idempotent"))) {
      findings.add(contradiction(first, second, "have the same kind " + first.text("kind")));
    }
  }

  private Finding contradiction(Entry first, Entry second, String relation) {
    return document.finding(
        second.pointer(),
        FindingCode.RULES_CONTRADICT,
        "rules %s and %s %s but treat it differently"
            .formatted(first.text("id"), second.text("id"), relation),
        "Make idempotent, service and key equal, or make the requests distinct.");
  }
}
