package io.cuminvalve.config.check;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Everything that a check found.
 *
 * @param findings in the order of the file; not null, copied; of several with the same path and
 *     code only the first is kept
 * @since 0.1
 */
public record CheckReport(List<Finding> findings) {

  /** A report without findings. */
  public static final CheckReport CLEAN = new CheckReport(List.of());

  /** Copies the list and drops repetitions. */
  public CheckReport {
    Set<String> seen = new HashSet<>();
    findings =
        findings.stream()
            .filter(finding -> seen.add(finding.code() + " " + finding.path()))
            .toList();
  }

  /**
   * Tells whether nothing was found.
   *
   * @return true if there are no findings
   */
  public boolean isClean() {
    return findings.isEmpty();
  }

  /**
   * Joins two reports.
   *
   * @param other the report to append; not null
   * @return a new report
   */
  public CheckReport and(CheckReport other) {
    List<Finding> all = new ArrayList<>(findings);
    all.addAll(other.findings);
    return new CheckReport(all);
  }

  /**
   * Writes the findings for people.
   *
   * @return one line for each finding and one for its hint
   */
  public String toText() {
    return findings.stream()
        .map(
            finding ->
                "%s: %s: %s%n    hint: %s"
                    .formatted(finding.path(), finding.code(), finding.message(), finding.hint()))
        .collect(Collectors.joining(System.lineSeparator()));
  }
}
