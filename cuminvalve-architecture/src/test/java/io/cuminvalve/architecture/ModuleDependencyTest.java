package io.cuminvalve.architecture;

import static com.google.common.truth.Truth.assertThat;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaAccess;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchCondition;
import com.tngtech.archunit.lang.ConditionEvents;
import com.tngtech.archunit.lang.SimpleConditionEvent;
import org.junit.jupiter.api.Test;

/** Checks that modules depend on each other only as docs/DESIGN.md section 1 says. */
class ModuleDependencyTest {

  private static final String ROOT = "io.cuminvalve";

  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages(ROOT);

  @Test
  void everyModuleIsImported() {
    for (String module :
        new String[] {
          "kernel", "core", "config", "wire", "ports", "router", "controller", "gateway", "platform"
        }) {
      assertThat(CLASSES.containPackage(ROOT + "." + module)).isTrue();
    }
  }

  @Test
  void kernelKnowsNothingOfOurs() {
    noClasses()
        .that()
        .resideInAPackage(ROOT + ".kernel..")
        .should()
        .dependOnClassesThat(oursOutside("kernel"))
        .check(CLASSES);
  }

  @Test
  void coreKnowsOnlyTheKernelAndHashing() {
    classes()
        .that()
        .resideInAPackage(ROOT + ".core..")
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage(
            ROOT + ".core..",
            ROOT + ".kernel..",
            "java.lang..",
            "java.util..",
            "java.nio.charset",
            "com.dynatrace..")
        .check(CLASSES);
  }

  @Test
  void coreHasNoThreads() {
    noClasses()
        .that()
        .resideInAPackage(ROOT + ".core..")
        .should()
        .dependOnClassesThat()
        .haveNameMatching(
            "java\\.lang\\.Thread|java\\.util\\.Timer"
                + "|java\\.util\\.concurrent\\.(.*Executor.*|.*Future|locks\\..*)")
        .check(CLASSES);
  }

  @Test
  void coreReadsNoClockAndDrawsNoUnseededNumbers() {
    classes()
        .that()
        .resideInAPackage(ROOT + ".core..")
        .should(notCall("java.lang.System", "currentTimeMillis|nanoTime"))
        .andShould(notCall("java.lang.Math", "random"))
        .andShould(notCall("java.util.concurrent.ThreadLocalRandom", ".*"))
        .andShould(notCall("io.cuminvalve.kernel.MillisClock", "system"))
        .check(CLASSES);
  }

  @Test
  void onlyTheDemoAndTheBenchKnowTheStandIns() {
    noClasses()
        .that()
        .resideOutsideOfPackages(ROOT + ".testkit..", ROOT + ".demo..", ROOT + ".bench..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage(ROOT + ".testkit..")
        .check(CLASSES);
  }

  @Test
  void programsKnowNoFrontEnd() {
    noClasses()
        .that()
        .resideInAnyPackage(
            ROOT + ".router..",
            ROOT + ".controller..",
            ROOT + ".gateway..",
            ROOT + ".platform..",
            ROOT + ".ports..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(ROOT + ".cli..", ROOT + ".load..", ROOT + ".demo..", ROOT + ".bench..")
        .check(CLASSES);
  }

  @Test
  void internalsStayInTheirModule() {
    classes()
        .that()
        .resideInAPackage(ROOT + "..")
        .should(keepToInternalsOfOwnModule())
        .check(CLASSES);
  }

  @Test
  void onlyThePlatformFolderKnowsThePlatform() {
    noClasses()
        .that()
        .resideOutsideOfPackages(ROOT + ".platform..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage(ROOT + ".platform..")
        .check(CLASSES);
  }

  private static DescribedPredicate<JavaClass> oursOutside(String module) {
    return DescribedPredicate.describe(
        "ours outside " + module,
        type ->
            type.getPackageName().startsWith(ROOT + ".")
                && !type.getPackageName().startsWith(ROOT + "." + module));
  }

  private static ArchCondition<JavaClass> notCall(String owner, String methodPattern) {
    return new ArchCondition<>("not call " + owner + "." + methodPattern) {
      @Override
      public void check(JavaClass type, ConditionEvents events) {
        for (JavaAccess<?> access : type.getAccessesFromSelf()) {
          boolean forbidden =
              access.getTargetOwner().getName().equals(owner)
                  && access.getTarget().getName().matches(methodPattern);
          if (forbidden) {
            events.add(SimpleConditionEvent.violated(type, access.getDescription()));
          }
        }
      }
    };
  }

  private static ArchCondition<JavaClass> keepToInternalsOfOwnModule() {
    return new ArchCondition<>("use internal packages of its own module only") {
      @Override
      public void check(JavaClass type, ConditionEvents events) {
        type.getDirectDependenciesFromSelf().stream()
            .filter(dependency -> isInternal(dependency.getTargetClass()))
            .filter(dependency -> !moduleOf(dependency.getTargetClass()).equals(moduleOf(type)))
            .forEach(
                dependency ->
                    events.add(SimpleConditionEvent.violated(type, dependency.getDescription())));
      }
    };
  }

  private static boolean isInternal(JavaClass type) {
    String name = type.getPackageName();
    return name.startsWith(ROOT) && (name + ".").contains(".internal.");
  }

  private static String moduleOf(JavaClass type) {
    String name = type.getPackageName();
    int start = ROOT.length() + 1;
    if (name.length() < start) {
      return "";
    }
    int end = name.indexOf('.', start);
    return end < 0 ? name.substring(start) : name.substring(start, end);
  }
}
