package org.skylarkfork.runtime.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.time.Instant;
import java.util.List;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.event.OperatorEvent;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.request.RequestKind;
import org.skylarkfork.runtime.codec.Codec;
import org.skylarkfork.runtime.codec.CodecException;

/** Turns calls of the admin API into events. */
final class AdminCalls {

  private static final int MAX_ID_LENGTH = 128;
  private static final int DEFAULT_HISTORY = 20;

  private final ObjectMapper json;
  private final Codec codec;
  private final RequestParser requests;
  private final Supplier<String> ids;

  AdminCalls(ObjectMapper json, Codec codec, RequestParser requests, Supplier<String> ids) {
    this.json = json;
    this.codec = codec;
    this.requests = requests;
    this.ids = ids;
  }

  /** Parses {@code GET /admin/v1/configuration}. */
  OperatorEvent configuration(String keyHash) {
    return new OperatorEvent.ConfigurationRequested(ids.get(), keyHash);
  }

  /** Parses {@code GET /admin/v1/revisions}. */
  OperatorEvent history(String keyHash, QueryStringDecoder query) {
    return new OperatorEvent.HistoryRequested(
        ids.get(),
        keyHash,
        number(query, "before", Long.MAX_VALUE),
        (int) number(query, "most", DEFAULT_HISTORY));
  }

  /** Parses {@code GET /admin/v1/revisions/N}. */
  OperatorEvent revision(String keyHash, String revision) {
    return new OperatorEvent.RevisionRequested(ids.get(), keyHash, wholeNumber(revision));
  }

  /** Parses {@code GET /admin/v1/differences?from=N&to=M}. */
  OperatorEvent difference(String keyHash, QueryStringDecoder query) {
    return new OperatorEvent.DifferenceRequested(
        ids.get(), keyHash, number(query, "from", -1), number(query, "to", -1));
  }

  /** Parses {@code GET /admin/v1/in-force/N}. */
  OperatorEvent inForce(String keyHash, String revision) {
    return new OperatorEvent.InForceRequested(ids.get(), keyHash, wholeNumber(revision));
  }

  /** Parses {@code POST /admin/v1/changes}. */
  OperatorEvent change(String keyHash, HttpHeaders headers, byte[] body) {
    JsonNode root = object(body);
    JsonNode change = root.get("change");
    if (change == null || !change.isObject()) {
      throw bad("'change' must be an object with a type; docs/CONFIGURATION.md lists the types.");
    }
    return new OperatorEvent.ChangeRequested(
        ids.get(), keyHash, changeId(headers), expected(headers), parsed(change));
  }

  private ConfigurationChange parsed(JsonNode change) {
    try {
      return codec.fromCompleteJson(change.toString(), ConfigurationChange.class);
    } catch (CodecException wrong) {
      throw bad("The change can't be read: " + wrong.getMessage());
    }
  }

  /** Parses {@code POST /admin/v1/dry-run} with a completion's body. */
  OperatorEvent dryRun(QueryStringDecoder query, HttpHeaders headers, byte[] body, Instant now) {
    CallerRequest request = requests.draft("dry-run", RequestKind.CHAT, headers, body, now);
    return new OperatorEvent.DryRun(ids.get(), text(query, "team"), request);
  }

  /** Parses {@code POST /admin/v1/control-vms} with a node and whether it is admitted. */
  OperatorEvent controlVm(byte[] body) {
    JsonNode root = object(body);
    String node = root.path("node").asText("");
    if (node.isEmpty() || !root.path("admit").isBoolean()) {
      throw bad("Give 'node', the node name, and 'admit', true or false.");
    }
    return new OperatorEvent.ControlVmRequested(ids.get(), node, root.path("admit").asBoolean());
  }

  /** A call without a change id gets one of its own, so that its resend is a new change. */
  private String changeId(HttpHeaders headers) {
    String id = headers.get(HttpNames.CHANGE_ID);
    if (id == null || id.isBlank()) {
      return ids.get();
    }
    if (id.length() > MAX_ID_LENGTH) {
      throw bad("'" + HttpNames.CHANGE_ID + "' is over " + MAX_ID_LENGTH + " characters.");
    }
    return id;
  }

  private static @Nullable Long expected(HttpHeaders headers) {
    String tag = headers.get("If-Match");
    if (tag == null || tag.equals("*")) {
      return null;
    }
    return wholeNumber(tag.replace("\"", ""));
  }

  private JsonNode object(byte[] body) {
    try {
      JsonNode root = json.readTree(body);
      if (root != null && root.isObject()) {
        return root;
      }
    } catch (IOException malformed) {
      throw bad("The body is not JSON. Send one object.");
    }
    throw bad("The body must be one JSON object.");
  }

  private static long wholeNumber(String text) {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException malformed) {
      throw bad("'" + text + "' is not a revision. Give a whole number.");
    }
  }

  private static long number(QueryStringDecoder query, String name, long byDefault) {
    List<String> values = query.parameters().getOrDefault(name, List.of());
    if (values.isEmpty() && byDefault >= 0) {
      return byDefault;
    }
    return wholeNumber(values.isEmpty() ? "" : values.get(0));
  }

  private static String text(QueryStringDecoder query, String name) {
    List<String> values = query.parameters().getOrDefault(name, List.of());
    if (values.isEmpty() || values.get(0).isEmpty()) {
      throw bad("Add '" + name + "' to the query.");
    }
    return values.get(0);
  }

  private static BadRequestException bad(String message) {
    return new BadRequestException(RoutingError.notRun(ErrorKind.BAD_REQUEST, message));
  }
}
