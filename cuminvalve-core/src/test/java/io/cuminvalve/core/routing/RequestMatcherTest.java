package io.cuminvalve.core.routing;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.cuminvalve.core.id.RuleId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.rule.KeySource;
import io.cuminvalve.core.rule.KeySource.Place;
import io.cuminvalve.core.rule.RequestClass;
import io.cuminvalve.core.rule.RequestRule;
import io.cuminvalve.core.table.KeyHasher;
import io.cuminvalve.kernel.CodedException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests {@link RequestMatcher}. */
class RequestMatcherTest {

  private static final KeySource CLAIM = new KeySource(Place.PATH, "claim");

  private final RequestMatcher matcher =
      new RequestMatcher(
          List.of(
              rule("special", "GET", "/claims/special", new KeySource(Place.HEADER, "X-Key")),
              rule("read", "GET", "/claims/{claim}", CLAIM),
              rule("payout", "POST", "/claims/{claim}/payouts", CLAIM)));
  private final RouteMatch match = new RouteMatch();

  @ParameterizedTest
  @CsvSource({
    "GET, /claims/c-1, MATCHED, read, c-1",
    "GET, /claims/c-1?x=/a/b, MATCHED, read, c-1",
    "GET, /claims/c%2D1, MATCHED, read, c-1",
    "GET, /claims/c%2F1, MATCHED, read, c/1",
    "GET, /claims/%c3%A9, MATCHED, read, %C3%A9",
    "GET, /cl%61ims/c-1, MATCHED, read, c-1",
    "POST, /claims/c-1/payouts, MATCHED, payout, c-1",
    "GET, /claims/special, MATCHED, special, from-header",
    "GET, /claims/, KEY_MISSING, , ''",
    "GET, /claims/%2, KEY_MISSING, , ''",
    "POST, /claims/c-1, NO_RULE, , ''",
    "PUT, /claims/c-1, NO_RULE, , ''",
    "GET, /, NO_RULE, , ''",
    "GET, '', NO_RULE, , ''",
    "GET, xclaims/c-1, NO_RULE, , ''",
  })
  void findsFirstRuleAndKey(
      String method, String path, MatchResult result, String rule, String key) {
    assertThat(matcher.match(method, path, Map.of("X-Key", "from-header")::get, match))
        .isEqualTo(result);
    assertThat(match.rule() == null ? null : match.rule().id().value()).isEqualTo(rule);
    assertThat(match.key().toString()).isEqualTo(key);
    assertThat(match.shard(1024)).isEqualTo(KeyHasher.shardOf(key, 1024));
  }

  @Test
  void reportsMissingHeaderKeyWithoutTryingNextRule() {
    assertThat(matcher.match("GET", "/claims/special", name -> null, match))
        .isEqualTo(MatchResult.KEY_MISSING);
  }

  @Test
  void rejectsTemplateWithoutItsKey() {
    RequestRule broken = rule("broken", "GET", "/claims/{other}", CLAIM);
    assertThrows(CodedException.class, () -> new RequestMatcher(List.of(broken)));
  }

  @Test
  void doesNotMatchPathsWithTooManySegments() {
    assertThat(matcher.match("GET", "/a".repeat(33), name -> null, match))
        .isEqualTo(MatchResult.NO_RULE);
  }

  private static RequestRule rule(String id, String method, String template, KeySource key) {
    return new RequestRule(
        new RuleId(id),
        new ServiceId("claims"),
        method,
        template,
        key,
        id,
        true,
        RequestClass.INTERACTIVE,
        1000,
        false);
  }
}
