package io.cuminvalve.demo;

import io.cuminvalve.config.check.ConfigurationFiles;
import io.cuminvalve.core.id.RuleId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.inventory.DataCentre;
import io.cuminvalve.core.inventory.Instance;
import io.cuminvalve.core.inventory.Inventory;
import io.cuminvalve.core.inventory.Service;
import io.cuminvalve.core.rule.RequestRule;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Both examples as one configuration.
 *
 * @param inventory both inventories; not null
 * @param rules both sets of rules; not null
 */
record DemoConfiguration(Inventory inventory, List<RequestRule> rules) {

  /** The path of the kind that the configuration published during the demo adds. */
  static final String ADDED_PATH = "/policies/probe/summary";

  private static final String HOME_PROPERTY = "cuminvalve.home";
  private static final List<String> EXAMPLES = List.of("resguardo", "cotiza");

  static DemoConfiguration read() {
    List<DataCentre> dataCentres = new ArrayList<>();
    List<Service> services = new ArrayList<>();
    List<Instance> instances = new ArrayList<>();
    List<RequestRule> rules = new ArrayList<>();
    for (String example : EXAMPLES) {
      Path folder = Path.of(System.getProperty(HOME_PROPERTY, "."), "examples", example, "demo");
      ConfigurationFiles.Checked checked =
          ConfigurationFiles.read(folder.resolve("inventory.json"), folder.resolve("rules.json"));
      dataCentres.addAll(checked.inventory().dataCentres());
      services.addAll(checked.inventory().services());
      instances.addAll(checked.inventory().instances());
      rules.addAll(checked.rules());
    }
    return new DemoConfiguration(new Inventory(dataCentres, services, instances), rules);
  }

  /** Puts the addresses at which the stand-ins listen in place of those in the files. */
  DemoConfiguration withAddresses(Map<TargetId, String> addresses) {
    List<Instance> moved =
        inventory.instances().stream()
            .map(
                instance ->
                    new Instance(
                        instance.id(),
                        instance.service(),
                        instance.dataCentre(),
                        addresses.get(instance.id()),
                        instance.slots(),
                        instance.maxConnections()))
            .toList();
    return new DemoConfiguration(
        new Inventory(inventory.dataCentres(), inventory.services(), moved), rules);
  }

  /** Adds a kind of request, so that one can see from outside which configuration is in force. */
  DemoConfiguration withAddedKind() {
    RequestRule model =
        rules.stream()
            .filter(rule -> rule.kind().equals("policy-lookup"))
            .findFirst()
            .orElseThrow();
    RequestRule added =
        new RequestRule(
            new RuleId("policy-summary"),
            model.service(),
            model.method(),
            model.pathTemplate() + "/summary",
            model.key(),
            "policy-summary",
            true,
            model.requestClass(),
            model.timeoutMs(),
            false);
    List<RequestRule> more = new ArrayList<>(rules);
    more.add(added);
    return new DemoConfiguration(inventory, more);
  }
}
