package io.cuminvalve.router.caller;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.RuleId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.request.RetryPolicy;
import io.cuminvalve.core.request.SlotUse;
import io.cuminvalve.core.routing.RequestMatcher;
import io.cuminvalve.core.rule.KeySource;
import io.cuminvalve.core.rule.RequestClass;
import io.cuminvalve.core.rule.RequestRule;
import io.cuminvalve.core.verdict.Verdict;
import io.cuminvalve.router.observe.RecentRequests;
import io.cuminvalve.router.observe.RequestObserver;
import io.cuminvalve.router.observe.RouterMetrics;
import io.cuminvalve.router.observe.TraceSink;
import io.cuminvalve.router.request.IntentClaims;
import io.cuminvalve.router.request.IntentListener;
import io.cuminvalve.router.request.RequestContext;
import io.cuminvalve.router.request.Slot;
import io.cuminvalve.router.request.SlotListener;
import io.cuminvalve.router.request.SlotTicket;
import io.cuminvalve.router.target.TargetClient;
import io.cuminvalve.router.target.TargetClientLimits;
import io.cuminvalve.router.target.TargetHeaders;
import io.cuminvalve.router.target.TargetRecord;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

/** The path from caller to one target, with time in the hands of the test. */
final class PathFixture implements AutoCloseable {

  static final int KEPT_BODY_BYTES = 64;
  static final String TOKEN = "77";
  private static final int MANY_CONNECTIONS = 8;

  final AtomicLong nowMs = new AtomicLong(1_000);
  final ManualTimers timers = new ManualTimers();
  final BlockingQueue<SlotUse> releases = new LinkedBlockingQueue<>();
  final BlockingQueue<Verdict> settled = new LinkedBlockingQueue<>();
  final BlockingQueue<String> cancelled = new LinkedBlockingQueue<>();
  final TargetRecord target;
  final CallerHandler handler;
  volatile RetryPolicy retryDecider = (failed, remainingMs, now) -> RetryPolicy.NO_RETRY;
  volatile boolean grantable = true;
  private final TargetClient client;
  private final CallerServer server;

  PathFixture(InetSocketAddress address) {
    this(address, MANY_CONNECTIONS);
  }

  PathFixture(InetSocketAddress address, int maxConnections) {
    RandomGenerator random = new Random(1);
    RouterMetrics metrics = new RouterMetrics(new PrometheusRegistry());
    target = new TargetRecord(new TargetId("claims-01"), address, nowMs::get);
    client = new TargetClient(TargetClientLimits.DEFAULT, unused -> maxConnections);
    RequestObserver observer =
        new RequestObserver(new RecentRequests(16), metrics, nowMs::get, TraceSink.NONE);
    ExchangeServices services =
        new ExchangeServices(
            (request, listener) -> admit(listener),
            new GrantingClaims(),
            (slot, headers) -> {
              headers.put(TargetHeaders.TOKEN, TOKEN);
              return grantable;
            },
            client,
            (record, id, onDone) -> {
              cancelled.add(id.value());
              onDone.run();
            },
            timers,
            nowMs::get,
            observer);
    CallerLimits limits = new CallerLimits(4096, 1L << 40, KEPT_BODY_BYTES, 100);
    RequestMatcher matcher = new RequestMatcher(rules());
    handler =
        new CallerHandler(
            () -> new CallerRules(matcher, (a, b, c) -> retryDecider.delayMs(a, b, c), () -> {}),
            services,
            limits,
            new RequestIds(random),
            metrics);
    server = new CallerServer(new InetSocketAddress("127.0.0.1", 0), limits, handler);
    client.start();
    server.start();
  }

  RawCaller caller() throws java.io.IOException {
    return new RawCaller(server.port());
  }

  URI uri(String path) {
    return URI.create("http://127.0.0.1:" + server.port() + path);
  }

  private SlotTicket admit(SlotListener listener) {
    listener.onAdmitted(new Slot(new CellId("claims"), target, 3));
    return new SlotTicket() {
      @Override
      public void withdraw() {}

      @Override
      public void release(SlotUse use) {
        releases.add(use);
      }
    };
  }

  private static List<RequestRule> rules() {
    return List.of(
        rule("read", "GET", "/claims/{claim}", true),
        rule("payout", "POST", "/claims/{claim}/payouts", false),
        rule("upload", "POST", "/claims/{claim}/photos", false));
  }

  private static RequestRule rule(String kind, String method, String template, boolean idempotent) {
    return new RequestRule(
        new RuleId(kind),
        new ServiceId("claims"),
        method,
        template,
        new KeySource(KeySource.Place.PATH, "claim"),
        kind,
        idempotent,
        RequestClass.INTERACTIVE,
        5_000,
        false);
  }

  @Override
  public void close() {
    server.stop();
    client.stop();
  }

  /** Grants every claim and keeps how operations ended. */
  private final class GrantingClaims implements IntentClaims {

    @Override
    public void claim(RequestContext request, IntentListener listener) {
      listener.onGranted();
    }

    @Override
    public void settle(RequestContext request, Verdict verdict) {
      settled.add(verdict);
    }
  }
}
