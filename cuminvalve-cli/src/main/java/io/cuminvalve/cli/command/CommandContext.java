package io.cuminvalve.cli.command;

import io.cuminvalve.cli.console.Console;
import io.cuminvalve.cli.publish.EffectForecast;
import io.cuminvalve.cli.publish.InForceWait;
import io.cuminvalve.cli.publish.Publisher;
import io.cuminvalve.config.settings.OperatorSettings;
import io.cuminvalve.core.id.PublicationId;
import io.cuminvalve.core.placement.BalancingPlanner;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.wire.MessagePackTableCodec;
import io.cuminvalve.wire.RecordCodec;
import java.util.function.Function;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Everything that commands depend on.
 *
 * @param console where they write; not null
 * @param connector connects to the running system; not null
 * @param clock measures waits; not null
 * @param epochClockMs the wall clock, in milliseconds since 1970; not null
 * @param pauseMs pauses, in milliseconds; not null
 * @param publicationIds gives a fresh identifier for each attempt to publish; not null
 * @param operator who runs the command; not null
 * @since 0.1
 */
public record CommandContext(
    Console console,
    Function<OperatorSettings, Connection> connector,
    MillisClock clock,
    LongSupplier epochClockMs,
    LongConsumer pauseMs,
    Supplier<PublicationId> publicationIds,
    String operator) {

  Publisher publisher(Connection connection) {
    return new Publisher(connection.store(), publicationIds, epochClockMs);
  }

  EffectForecast forecast(Connection connection) {
    return new EffectForecast(
        connection.store(),
        new MessagePackTableCodec(new RecordCodec()),
        new BalancingPlanner(),
        connection.fleet()::targetStates);
  }

  InForceWait inForceWait(Connection connection) {
    return new InForceWait(connection.fleet(), clock, pauseMs);
  }
}
