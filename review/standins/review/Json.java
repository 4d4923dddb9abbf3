package review;

import java.util.Collection;
import java.util.Map;

/** Writes maps, collections, texts, numbers and booleans as JSON. */
final class Json {

  private Json() {}

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    append(value, out);
    return out.toString();
  }

  private static void append(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> members) {
      out.append('{');
      String comma = "";
      for (Map.Entry<?, ?> member : members.entrySet()) {
        out.append(comma);
        append(member.getKey().toString(), out);
        out.append(':');
        append(member.getValue(), out);
        comma = ",";
      }
      out.append('}');
    } else if (value instanceof Collection<?> elements) {
      out.append('[');
      String comma = "";
      for (Object element : elements) {
        out.append(comma);
        append(element, out);
        comma = ",";
      }
      out.append(']');
    } else if (value instanceof String text) {
      out.append('"').append(text.replace("\\", "\\\\").replace("\"", "\\\"")).append('"');
    } else {
      out.append(value);
    }
  }
}
