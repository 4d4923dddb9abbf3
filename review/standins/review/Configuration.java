package review;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The configuration of a small deployment: one host, one service, two kinds of requests. */
final class Configuration {

  static final String HOST = "ficu95.example";
  static final String SERVICE = "mietpruef-app";
  static final String KEY = "n2ctnfzs989anu6wsjnb";

  /** Path of requests that may be repeated. */
  static final String LOOKUP = "/lohu930/2f";

  /** Path of requests that may run once. */
  static final String BOOKING = "/puxa403/2f";

  private Configuration() {}

  /** Returns the body of a configuration whose routes have the same timeout. */
  static String of(int maxConnections, int timeoutMillis) {
    Map<String, Object> service = new LinkedHashMap<>();
    service.put("name", SERVICE);
    service.put("health_path", "/healthz");
    service.put("max_connections", maxConnections);
    service.put("protocol", "h1");
    service.put("tls", false);
    return document(
        List.of(
            route("r-lookup", LOOKUP, "idempotent", 2, timeoutMillis),
            route("r-booking", BOOKING, "non_idempotent", 1, timeoutMillis)),
        service);
  }

  private static String document(List<Map<String, Object>> routes, Map<String, Object> service) {
    Map<String, Object> configuration = new LinkedHashMap<>();
    configuration.put("version", 1);
    configuration.put("routes", routes);
    configuration.put("services", List.of(service));
    Map<String, Object> limits = new LinkedHashMap<>();
    limits.put("max_header_bytes", 16_384);
    limits.put("max_body_bytes", 4_194_304);
    limits.put("header_timeout_ms", 3000);
    limits.put("idle_timeout_ms", 15_000);
    configuration.put("limits", limits);
    Map<String, Object> tenant = new LinkedHashMap<>();
    tenant.put("name", "hule930");
    tenant.put("api_keys", List.of(KEY));
    tenant.put("priority", 1);
    configuration.put("tenants", List.of(tenant));
    return Json.write(configuration);
  }

  /** Returns the body of a configuration with one streaming route to engines. */
  static String streaming(Map<String, Object> engine) {
    Map<String, Object> route = route("r-prompt", LOOKUP, "streaming", 3, 8000);
    route.put("target_latency_ms", 1500);
    route.put("gap_target_ms", 800);
    route.put("sticky_sessions", true);
    route.put("stream_resume", true);
    Map<String, Object> service = new LinkedHashMap<>();
    service.put("name", SERVICE);
    service.put("health_path", "/healthz");
    service.put("max_connections", 360);
    service.put("protocol", "h1");
    service.put("tls", false);
    service.put("engine", engine);
    return document(List.of(route), service);
  }

  private static Map<String, Object> route(
      String name, String path, String kind, int attempts, int timeoutMillis) {
    Map<String, Object> route = new LinkedHashMap<>();
    route.put("name", name);
    route.put("host", HOST);
    route.put("path_prefix", path.substring(0, path.lastIndexOf('/') + 1));
    route.put("kind", kind);
    route.put("timeout_ms", timeoutMillis);
    route.put("target_latency_ms", 300);
    route.put("priority", 2);
    route.put("service", SERVICE);
    route.put("max_attempts", attempts);
    route.put("public", false);
    return route;
  }

  /** Returns the head of a client's request, without the length of its body. */
  static String request(String method, String path, String id, long deadlineMillis) {
    return method
        + " "
        + path
        + " HTTP/1.1\nHost: "
        + HOST
        + "\nX-Request-Id: "
        + id
        + "\nX-Deadline-Ms: "
        + deadlineMillis
        + "\nAuthorization: Bearer "
        + KEY
        + "\n";
  }
}
