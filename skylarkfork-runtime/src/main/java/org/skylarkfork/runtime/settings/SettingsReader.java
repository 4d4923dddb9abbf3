package org.skylarkfork.runtime.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.networknt.schema.Error;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Reads settings of one kind from YAML and checks them against their schema.
 *
 * @param <T> the record that holds the settings
 */
public final class SettingsReader<T> {

  private final Class<T> type;
  private final Schema schema;
  private final Function<T, List<SettingsProblem>> check;
  private final ObjectMapper yaml;

  /**
   * Makes a reader that checks the schema only.
   *
   * @param type the record that holds the settings
   * @param schema JSON schema, as a resource beside the record's class
   */
  public SettingsReader(Class<T> type, String schema) {
    this(type, schema, settings -> List.of());
  }

  /**
   * Makes a reader.
   *
   * @param type the record that holds the settings
   * @param schema JSON schema, as a resource beside the record's class
   * @param check finds what is wrong in settings that fit the schema
   */
  public SettingsReader(Class<T> type, String schema, Function<T, List<SettingsProblem>> check) {
    this.type = type;
    this.check = check;
    this.schema = schema(type, schema);
    this.yaml = new ObjectMapper(new YAMLFactory());
    SimpleModule units = new SimpleModule();
    units.addDeserializer(Duration.class, new UnitDeserializer<>(Units::duration));
    units.addDeserializer(
        DataSize.class, new UnitDeserializer<>(text -> new DataSize(Units.bytes(text))));
    yaml.registerModule(units);
    yaml.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
  }

  private static Schema schema(Class<?> type, String name) {
    try (InputStream resource = type.getResourceAsStream(name)) {
      if (resource == null) {
        throw new IllegalStateException("the schema " + name + " is not packaged");
      }
      return SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
          .getSchema(resource, InputFormat.JSON);
    } catch (IOException unreadable) {
      throw new IllegalStateException("the schema " + name + " can't be read", unreadable);
    }
  }

  /**
   * Reads a file.
   *
   * @throws SettingsException if the file can't be read or its content is wrong
   */
  public T read(Path file) {
    try {
      return read(Files.readString(file));
    } catch (IOException unreadable) {
      throw new SettingsException(
          List.of("The settings file " + file + " can't be read. Name one that exists."));
    }
  }

  /**
   * Reads a text.
   *
   * @throws SettingsException if the content is wrong
   */
  public T read(String text) {
    JsonNode tree = tree(text);
    Map<String, Integer> lines = lines(text);
    List<Error> errors = new ArrayList<>(schema.validate(tree));
    if (!errors.isEmpty()) {
      throw new SettingsException(described(errors, lines));
    }
    T settings = converted(tree);
    List<SettingsProblem> problems = check.apply(settings);
    if (!problems.isEmpty()) {
      throw new SettingsException(placed(problems, lines));
    }
    return settings;
  }

  private T converted(JsonNode tree) {
    try {
      return yaml.treeToValue(tree, type);
    } catch (JsonProcessingException wrong) {
      throw new SettingsException(List.of(wrong.getOriginalMessage()));
    }
  }

  private static List<String> placed(List<SettingsProblem> problems, Map<String, Integer> lines) {
    return problems.stream()
        .sorted(Comparator.comparingInt(problem -> line(problem.pointer(), lines)))
        .map(
            problem ->
                "Line "
                    + line(problem.pointer(), lines)
                    + ": "
                    + place(problem.pointer())
                    + problem.sentence())
        .toList();
  }

  private static int line(String pointer, Map<String, Integer> lines) {
    return lines.getOrDefault(pointer, 1);
  }

  private static String place(String pointer) {
    return pointer.isEmpty() ? "" : pointer.substring(1).replace('/', '.') + ": ";
  }

  private JsonNode tree(String text) {
    try {
      JsonNode tree = yaml.readTree(text);
      if (tree != null && tree.isObject()) {
        return tree;
      }
      throw new SettingsException(List.of("The settings are empty. Start from config/examples."));
    } catch (JsonProcessingException malformed) {
      int line = malformed.getLocation() == null ? 1 : malformed.getLocation().getLineNr();
      throw new SettingsException(
          List.of("Line " + line + ": this is not YAML: " + malformed.getOriginalMessage()));
    }
  }

  /** Finds the line on which each value stands, by its JSON pointer. */
  private Map<String, Integer> lines(String text) {
    Map<String, Integer> lines = new HashMap<>();
    try (JsonParser parser = yaml.getFactory().createParser(text)) {
      for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
        String pointer = parser.getParsingContext().pathAsPointer().toString();
        lines.putIfAbsent(pointer, parser.currentTokenLocation().getLineNr());
      }
    } catch (IOException checkedBefore) {
      return lines;
    }
    return lines;
  }

  private static List<String> described(List<Error> errors, Map<String, Integer> lines) {
    return errors.stream()
        .map(error -> new Problem(errorLine(error, lines), error))
        .sorted(Comparator.comparingInt(Problem::line))
        .map(Problem::sentence)
        .toList();
  }

  private static int errorLine(Error error, Map<String, Integer> lines) {
    String pointer = error.getInstanceLocation().toString();
    if (error.getProperty() != null) {
      Integer line = lines.get(pointer + "/" + error.getProperty());
      if (line != null) {
        return line;
      }
    }
    return line(pointer, lines);
  }

  private record Problem(int line, Error error) {

    String sentence() {
      return "Line " + line + ": " + what() + " " + remedy();
    }

    private String what() {
      return place(error.getInstanceLocation().toString()) + error.getMessage() + ".";
    }

    private String remedy() {
      return switch (error.getKeyword()) {
        case "additionalProperties" -> "Remove the key or correct its spelling.";
        case "required" -> "Add the key.";
        case "type" -> "Give a value of that type.";
        case "pattern" -> "Write it in the form that the schema's description names.";
        case "minimum", "maximum", "minItems", "maxItems", "minLength" ->
            "Choose a value within the bound.";
        default -> "See docs/OPERATIONS.md for the keys and their values.";
      };
    }
  }

  private static final class UnitDeserializer<V> extends JsonDeserializer<V> {
    private final Function<String, V> reader;

    UnitDeserializer(Function<String, V> reader) {
      this.reader = reader;
    }

    @Override
    public V deserialize(JsonParser parser, DeserializationContext context) throws IOException {
      try {
        return reader.apply(parser.getText());
      } catch (IllegalArgumentException wrong) {
        return context.reportInputMismatch(Object.class, "%s", wrong.getMessage());
      }
    }
  }
}
