import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * An instance has started again under its id at another address, and its former address belongs to
 * another service. Later the store is down for some seconds; leases and entries run out meanwhile.
 */
public final class OldAddressOfARun {

  private static final int INSTANCES = 7;
  private static final long RESTART_MS = 1_000;
  private static final long REUSE_AFTER_MS = 2_000;
  private static final long CALM_MS = 6_000;
  private static final long DOWN_MS = 4_000;

  /** When the entry of the instance is back after the store; the others are back sooner. */
  private static final long ENTRY_BACK_MS = 1_800;

  private static final long WATCH_MS = 12_000;

  private OldAddressOfARun() {}

  /** Runs the case; the argument is the file of its record. */
  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = Lab.NOT_RUN;
    try (Record record = new Record(Path.of(arguments[0]));
        Store store = new Store(record, "127.0.0.1");
        Gateways gateways = new Gateways(record, store.port(), 3)) {
      status = run(record, store, gateways, trouble);
    } catch (Throwable failed) {
      failed.printStackTrace();
    }
    System.exit(status);
  }

  private static int run(Record record, Store store, Gateways gateways, boolean trouble)
      throws Exception {
    store.put("op/config", Lab.configuration(1));
    List<Instance> instances = new CopyOnWriteArrayList<>();
    for (int i = 1; i <= INSTANCES; i++) {
      instances.add(new Instance(record, store, "127.0.0.1", "i-" + i, "core", true, 4));
    }
    new Instance(record, store, "127.0.0.1", "f-1", "files", false, 4);
    Owners owners = new Owners(record, instances);
    gateways.startAll();
    if (!Lab.await(30_000, () -> Lab.allHeld(instances))) {
      record.say("the keys were not granted: the case could not run");
      return Lab.NOT_RUN;
    }
    Store.sleep(2_000);
    Instance first = instances.get(0);
    Instance next = first;
    if (trouble) {
      instances.remove(first);
      first.close();
      record.write("i-1: crashes");
      Store.sleep(RESTART_MS);
      next = new Instance(record, store, "127.0.0.1", "i-1", "core", true, 4);
      instances.add(next);
      Store.sleep(REUSE_AFTER_MS);
      new Instance(record, store, "127.0.0.1", first.port(), "f-2", "files", false, 4);
      if (!Lab.await(20_000, () -> Lab.allHeld(instances))) {
        record.say("the keys were not granted again: the case could not run");
        return Lab.NOT_RUN;
      }
    }
    Store.sleep(CALM_MS);
    if (trouble) {
      store.goAway();
      Store.sleep(DOWN_MS);
      next.keepSilentFor(ENTRY_BACK_MS);
      store.comeBackLapsed();
    }
    Store.sleep(WATCH_MS);
    for (int i = 0; i < 3; i++) {
      for (String line : gateways.log(i, "event=")) {
        if (line.matches(".*event=(term_|owners_read|keys_taken|target_re|release_ended|keys_evac|foreign).*")) {
          record.write("log of edge-" + (i + 1) + ": " + line);
        }
      }
    }
    record.say("longest time for which two instances held one key: " + owners.describe());
    boolean broken = owners.longestMs() > 500;
    record.say(broken ? "OWNER is broken" : "OWNER held");
    return broken ? Lab.BROKEN : Lab.HELD;
  }
}
