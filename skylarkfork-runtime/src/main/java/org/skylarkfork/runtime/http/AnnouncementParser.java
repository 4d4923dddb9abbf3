package org.skylarkfork.runtime.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.upstream.Announcement;
import org.skylarkfork.core.upstream.CacheEvent;
import org.skylarkfork.core.upstream.LoadReport;
import org.skylarkfork.core.upstream.LoadedModel;
import org.skylarkfork.core.upstream.UpstreamKind;

/** Reads announcements of upstreams as docs/UPSTREAMS.md describes them. */
public final class AnnouncementParser {

  private static final int PROTOCOL = 1;
  private static final int MAX_PORT = 65_535;
  private static final int MAX_LIST = 1_000;

  private final ObjectMapper json;

  /**
   * Makes a parser.
   *
   * @param json reads the JSON
   */
  public AnnouncementParser(ObjectMapper json) {
    this.json = json;
  }

  /**
   * Parses an announcement.
   *
   * @throws BadRequestException if a field is missing or wrong
   */
  public Announcement parse(byte[] body) {
    JsonNode root = root(body);
    if (root.path("protocol").asInt(0) != PROTOCOL) {
      throw bad("'protocol' must be " + PROTOCOL + ". Announce in that version.");
    }
    String address = text(root, "address");
    int colon = address.lastIndexOf(':');
    UpstreamKind kind = kind(text(root, "kind"));
    return new Announcement(
        text(root, "id"),
        root.path("incarnation").asLong(0),
        address.substring(0, Math.max(colon, 0)),
        port(address, colon),
        text(root, "zone"),
        kind,
        kind == UpstreamKind.SERVICE ? text(root, "service") : null,
        models(root.path("models")),
        root.path("role").asText("mixed"),
        positive(root, "capacity"),
        load(root.path("load")),
        root.path("checksFencing").asBoolean(false),
        root.path("leaving").asBoolean(false),
        root.path("gone").asBoolean(false),
        cacheEvents(root.path("cacheEvents")));
  }

  private JsonNode root(byte[] body) {
    try {
      JsonNode root = json.readTree(body);
      if (root != null && root.isObject()) {
        return root;
      }
    } catch (IOException malformed) {
      // The message below tells what is wanted.
    }
    throw bad("An announcement must be one JSON object.");
  }

  private static int port(String address, int colon) {
    try {
      int port = Integer.parseInt(address.substring(colon + 1));
      if (colon > 0 && port > 0 && port <= MAX_PORT) {
        return port;
      }
    } catch (NumberFormatException malformed) {
      // The message below tells what is wanted.
    }
    throw bad("'address' must be an IP number, a colon and a port, such as 10.0.0.5:9000.");
  }

  private static UpstreamKind kind(String name) {
    return switch (name) {
      case "engine" -> UpstreamKind.ENGINE;
      case "service" -> UpstreamKind.SERVICE;
      default -> throw bad("'kind' must be engine or service, not '" + name + "'.");
    };
  }

  private static List<LoadedModel> models(JsonNode node) {
    List<LoadedModel> models = new ArrayList<>();
    for (JsonNode model : bounded(node, "models")) {
      List<String> adapters = new ArrayList<>();
      model.path("adapters").forEach(adapter -> adapters.add(adapter.asText()));
      models.add(new LoadedModel(text(model, "model"), text(model, "version"), adapters));
    }
    return models;
  }

  private static LoadReport load(JsonNode node) {
    return new LoadReport(
        node.path("running").asInt(0),
        node.path("queued").asInt(0),
        node.path("cacheUsed").asDouble(0),
        node.path("ageMillis").asLong(0));
  }

  private static List<CacheEvent> cacheEvents(JsonNode node) {
    List<CacheEvent> events = new ArrayList<>();
    for (JsonNode event : bounded(node, "cacheEvents")) {
      events.add(
          new CacheEvent(
              event.path("sequence").asLong(0),
              "stored".equals(event.path("kind").asText()),
              text(event, "prefix")));
    }
    return events;
  }

  private static JsonNode bounded(JsonNode node, String field) {
    if (node.size() > MAX_LIST) {
      throw bad("'" + field + "' has more than " + MAX_LIST + " items. Send fewer at a time.");
    }
    return node;
  }

  private static int positive(JsonNode root, String field) {
    int value = root.path(field).asInt(0);
    if (value < 1) {
      throw bad("'" + field + "' must be a whole number above 0.");
    }
    return value;
  }

  private static String text(JsonNode node, String field) {
    @Nullable JsonNode value = node.get(field);
    if (value == null || !value.isTextual() || value.asText().isEmpty()) {
      throw bad("'" + field + "' must be a text that is not empty.");
    }
    return value.asText();
  }

  private static BadRequestException bad(String message) {
    return new BadRequestException(RoutingError.notRun(ErrorKind.BAD_REQUEST, message));
  }
}
