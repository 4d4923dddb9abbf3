package org.skylarkfork.standin.measure.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.skylarkfork.core.configuration.ModelVersion;

/**
 * The machines, teams and load of one deployment.
 *
 * @param name name in reports
 * @param zones availability zones; the daemon stands in the first
 * @param engines its engines
 * @param services its servers of plain services
 * @param flows its load
 */
public record Deployment(
    String name,
    List<String> zones,
    List<EngineSpec> engines,
    List<ServiceSpec> services,
    List<Flow> flows) {

  /** Length of the load in seconds. */
  public static final int SECONDS = 300;

  /** Second at which faults begin. */
  public static final int FAULT_BEGIN = 105;

  /** Second at which faults end that pass. */
  public static final int FAULT_END = 260;

  /** Second at which the version that is to turn bad gets half of the new work. */
  static final int HALF_BEGIN = 60;

  static final String LOOKUP = "lookup";
  static final String ISSUE = "issue";
  static final ModelVersion SMALL_OLD = new ModelVersion("small", "1");
  static final ModelVersion SMALL_NEW = new ModelVersion("small", "2");
  static final ModelVersion LARGE = new ModelVersion("large", "1");
  static final int TEAMS = 10;
  static final int LARGE_TEAMS = 2;

  private static final int ENGINE_CAPACITY = 16;
  private static final double ENGINE_MILLIS = 15;
  private static final Duration SHORT = Duration.ofSeconds(2);
  private static final Duration USUAL = Duration.ofSeconds(15);
  private static final Duration LONG = Duration.ofSeconds(30);

  /** Returns the Bond: a race's start and finish, with live commentary all the time. */
  public static Deployment bond() {
    List<String> zones = List.of("utrecht-a", "utrecht-b", "amersfoort");
    return new Deployment(
        "bond",
        zones,
        engines(zones, 6),
        services(zones),
        List.of(
            new Flow(Flow.Kind.SESSION_DRAFT, 4, 0, SECONDS, false, USUAL),
            new Flow(Flow.Kind.DRAFT, 3, 0, SECONDS, false, LONG),
            new Flow(Flow.Kind.LOOKUP, 20, 0, SECONDS, false, SHORT),
            new Flow(Flow.Kind.ISSUE, 1, 0, SECONDS, false, USUAL),
            new Flow(Flow.Kind.LOOKUP, 500, 110, 118, true, SHORT),
            new Flow(Flow.Kind.DRAFT, 60, 110, 120, true, LONG),
            new Flow(Flow.Kind.LOOKUP, 600, 210, 220, true, SHORT),
            new Flow(Flow.Kind.DRAFT, 70, 210, 220, true, LONG)));
  }

  /** Returns Gasprüf: Monday's filing of certificates, with tenants' chats all the time. */
  public static Deployment gaspruef() {
    List<String> zones = List.of("wien-halle", "linz-halle", "graz-halle");
    return new Deployment(
        "gaspruef",
        zones,
        engines(zones, 13),
        services(zones),
        List.of(
            new Flow(Flow.Kind.SESSION_DRAFT, 6, 0, SECONDS, false, USUAL),
            new Flow(Flow.Kind.DRAFT, 5, 0, SECONDS, false, LONG),
            new Flow(Flow.Kind.LOOKUP, 30, 0, SECONDS, false, SHORT),
            new Flow(Flow.Kind.ISSUE, 3, 0, SECONDS, false, USUAL),
            new Flow(Flow.Kind.DRAFT, 120, 110, 125, true, LONG),
            new Flow(Flow.Kind.LOOKUP, 400, 110, 130, true, SHORT),
            new Flow(Flow.Kind.ISSUE, 15, 110, 130, true, USUAL)));
  }

  /** Returns the deployments with a name, or both for {@code both}. */
  public static List<Deployment> named(String name) {
    return switch (name) {
      case "bond" -> List.of(bond());
      case "gaspruef" -> List.of(gaspruef());
      case "both" -> List.of(bond(), gaspruef());
      default ->
          throw new IllegalArgumentException(
              "unknown deployment " + name + "; use bond, gaspruef or both");
    };
  }

  /** Returns the name of a team; the first {@link #LARGE_TEAMS} are large. */
  static String team(int number) {
    return String.format(Locale.ROOT, "team%02d", number);
  }

  /** Two thirds of the engines have the small model, two thirds the large one. */
  private static List<EngineSpec> engines(List<String> zones, int count) {
    List<EngineSpec> engines = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      List<ModelVersion> versions = new ArrayList<>();
      if (i % 3 != 2) {
        versions.addAll(List.of(SMALL_OLD, SMALL_NEW));
      }
      if (i % 3 != 0) {
        versions.add(LARGE);
      }
      String id = String.format(Locale.ROOT, "engine%02d", i);
      String zone = zones.get(i / 3 % zones.size());
      double millis = i % 4 == 3 ? ENGINE_MILLIS * 1.5 : ENGINE_MILLIS;
      engines.add(new EngineSpec(id, zone, ENGINE_CAPACITY, millis, versions));
    }
    return engines;
  }

  /** Three machines, unequal, each with one process for lookups and one for issuing. */
  private static List<ServiceSpec> services(List<String> zones) {
    int[] capacities = {8, 8, 16};
    double[] millis = {20, 35, 20};
    List<ServiceSpec> services = new ArrayList<>();
    for (int i = 0; i < zones.size(); i++) {
      services.add(new ServiceSpec("lookup0" + i, zones.get(i), LOOKUP, capacities[i], millis[i]));
      services.add(new ServiceSpec("issue0" + i, zones.get(i), ISSUE, 8, 120));
    }
    return services;
  }
}
