package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.authority.RouterEffect;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.protocol.ConfigPush;
import io.cuminvalve.core.protocol.ConfigRequest;

/**
 * Knows the configuration that is in force in a router, and hands it on.
 *
 * @since 0.1
 */
public final class ConfigurationKeeper {

  private final CellId cell;
  private final RouterOutbox outbox;
  private long revision;
  private byte[] json = new byte[0];

  /**
   * Creates the keeper of a router without a configuration.
   *
   * @param cell the cell; not null
   * @param outbox takes the effects; not null
   */
  public ConfigurationKeeper(CellId cell, RouterOutbox outbox) {
    this.cell = cell;
    this.outbox = outbox;
  }

  /**
   * Returns the revision in force.
   *
   * @return 0 if there is none
   */
  public long revision() {
    return revision;
  }

  /**
   * Records that a configuration is in force; an older one is ignored.
   *
   * @param newRevision its revision
   * @param newJson the published document; not null
   */
  public void onInstalled(long newRevision, byte[] newJson) {
    if (newRevision > revision) {
      revision = newRevision;
      json = newJson.clone();
    }
  }

  /**
   * Asks a process that has a newer configuration.
   *
   * @param itsRevision what it has
   * @param from its address; not null
   */
  public void onSeen(long itsRevision, String from) {
    if (itsRevision > revision) {
      outbox.send(from, new ConfigRequest(cell, revision));
    }
  }

  /**
   * Takes a configuration; an older one is ignored.
   *
   * @param push the configuration; not null
   */
  public void onPush(ConfigPush push) {
    if (push.revision() > revision) {
      outbox.add(new RouterEffect.InstallConfiguration(push.revision(), push.json()));
    }
  }

  /**
   * Hands the configuration to a process with an older one.
   *
   * @param request its question; not null
   * @param from its address; not null
   */
  public void onRequest(ConfigRequest request, String from) {
    if (revision > request.known()) {
      outbox.send(from, new ConfigPush(cell, revision, json));
    }
  }
}
