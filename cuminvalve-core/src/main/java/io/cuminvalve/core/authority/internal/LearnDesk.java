package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.authority.StoreKeys;
import io.cuminvalve.core.authority.StoreOutcome;
import io.cuminvalve.core.authority.StoreReply;
import io.cuminvalve.core.protocol.HolderLearnReply;
import io.cuminvalve.core.protocol.HolderLearnRequest;
import io.cuminvalve.core.table.TableVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Answers routers that ask the holder what is newest.
 *
 * <p>The holder reads its own term back from the store after the question arrived: a holder that
 * was replaced without noticing must not answer. One reading serves all questions that wait.
 *
 * @since 0.1
 */
public final class LearnDesk {

  private final HolderContext context;
  private final Predicate<byte[]> isOwnTerm;
  private final Supplier<TableVersion> newest;
  private final List<Question> waiting = new ArrayList<>();
  private boolean reading;

  /**
   * Creates a desk without questions.
   *
   * @param context the holder; not null
   * @param isOwnTerm tells whether the value of the term key is the holder's own record; not null
   * @param newest gives the newest version issued, or null while it is not known; not null
   */
  public LearnDesk(
      HolderContext context, Predicate<byte[]> isOwnTerm, Supplier<TableVersion> newest) {
    this.context = context;
    this.isOwnTerm = isOwnTerm;
    this.newest = newest;
  }

  /**
   * Takes a question.
   *
   * @param request the question; not null
   * @param from the address of the router; not null
   * @param nowMs the current time
   */
  public void onRequest(HolderLearnRequest request, String from, long nowMs) {
    if (newest.get() == null) {
      return;
    }
    waiting.add(new Question(request, from));
    if (!reading) {
      read(nowMs);
    }
  }

  private void read(long nowMs) {
    reading = true;
    List<Question> batch = List.copyOf(waiting);
    waiting.clear();
    context
        .outbox()
        .read(
            StoreKeys.term(context.cell()),
            nowMs,
            (reply, repliedAtMs) -> {
              reading = false;
              answer(batch, reply);
              if (!waiting.isEmpty()) {
                read(repliedAtMs);
              }
            });
  }

  private void answer(List<Question> batch, StoreReply reply) {
    if (reply.outcome() != StoreOutcome.DONE || !isOwnTerm.test(reply.value())) {
      return;
    }
    for (Question question : batch) {
      long nonce = question.request.nonce();
      context
          .outbox()
          .send(
              question.from,
              new HolderLearnReply(context.cell(), nonce, context.term(), newest.get()));
    }
  }

  private record Question(HolderLearnRequest request, String from) {}
}
