package org.skylarkfork.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Shows JSON as a table: a row for each item of an array, or a line for each field. */
final class JsonTable {

  private static final int MOST_CHARACTERS = 48;

  private JsonTable() {}

  /** Returns the text of a table. */
  static String render(JsonNode node) {
    if (node.isArray()) {
      return rows(node);
    }
    if (!node.isObject()) {
      return node.asText();
    }
    StringBuilder text = new StringBuilder();
    for (Map.Entry<String, JsonNode> field : node.properties()) {
      boolean table = field.getValue().isArray() && !field.getValue().isEmpty();
      String shown = table ? "\n" + rows(field.getValue()) : cell(field.getValue());
      text.append(field.getKey()).append(": ").append(shown).append('\n');
    }
    return text.toString().stripTrailing();
  }

  private static String rows(JsonNode items) {
    Set<String> names = new LinkedHashSet<>();
    items.forEach(item -> item.fieldNames().forEachRemaining(names::add));
    if (names.isEmpty()) {
      return String.join(", ", texts(items));
    }
    List<List<String>> table = new ArrayList<>();
    table.add(List.copyOf(names));
    for (JsonNode item : items) {
      table.add(names.stream().map(name -> cell(item.path(name))).toList());
    }
    return aligned(table);
  }

  private static List<String> texts(JsonNode items) {
    List<String> texts = new ArrayList<>();
    items.forEach(item -> texts.add(cell(item)));
    return texts;
  }

  private static String cell(JsonNode value) {
    String text = value.isValueNode() || value.isMissingNode() ? value.asText() : value.toString();
    return text.length() <= MOST_CHARACTERS ? text : text.substring(0, MOST_CHARACTERS - 1) + "…";
  }

  private static String aligned(List<List<String>> table) {
    int columns = table.get(0).size();
    int[] widths = new int[columns];
    for (List<String> row : table) {
      for (int column = 0; column < columns; column++) {
        widths[column] = Math.max(widths[column], row.get(column).length());
      }
    }
    StringBuilder text = new StringBuilder();
    for (List<String> row : table) {
      StringBuilder line = new StringBuilder();
      for (int column = 0; column < columns; column++) {
        line.append(String.format("%-" + Math.max(1, widths[column]) + "s  ", row.get(column)));
      }
      text.append(line.toString().stripTrailing()).append('\n');
    }
    return text.toString().stripTrailing();
  }
}
