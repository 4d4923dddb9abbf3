package org.skylarkfork.runtime;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Makes bad input out of good samples. */
final class Mutations {

  private static final int MOST_CHANGES = 4;
  private static final List<String> PIECES =
      List.of(
          "null",
          "true",
          "{}",
          "[]",
          "\"\"",
          "-1",
          "0.5",
          "1e999",
          "99999999999999999999",
          "NaN",
          "\"\\u0000\"",
          "\"\\ud800\"",
          "[".repeat(2000),
          "{\"a\":".repeat(1200),
          "\r\n",
          "\t",
          ": ",
          "- ",
          "&a [*a]",
          "!!java.lang.Object",
          "ÿ",
          ",",
          "\"",
          "}",
          "9".repeat(1500));

  private static final List<String> VALUES =
      List.of(
          "null",
          "true",
          "[]",
          "{}",
          "[null]",
          "\"\"",
          "\"ruling-small\"",
          "\"1\"",
          "\"\\u0000\"",
          "\"" + "x".repeat(5000) + "\"",
          "-1",
          "0",
          "2",
          "101",
          "0.5",
          "1e308",
          "2147483648",
          "9223372036854775807",
          "{\"@type\":\"ReplaceAll\"}");
  private static final ObjectMapper JSON = new ObjectMapper();

  private final UniformRandomProvider random;
  private final List<byte[]> samples;

  Mutations(UniformRandomProvider random, List<String> samples) {
    this.random = random;
    this.samples = samples.stream().map(sample -> sample.getBytes(StandardCharsets.UTF_8)).toList();
  }

  /** Returns a JSON sample in which some values are replaced, so that it stays JSON. */
  byte[] nextTree() {
    try {
      JsonNode root = JSON.readTree(sample());
      int changes = 1 + random.nextInt(MOST_CHANGES);
      for (int i = 0; i < changes; i++) {
        change(root);
      }
      return JSON.writeValueAsBytes(root);
    } catch (IOException impossible) {
      throw new IllegalStateException("the samples are JSON", impossible);
    }
  }

  private void change(JsonNode node) {
    if (node.isContainerNode() && node.size() > 0) {
      int chosen = random.nextInt(node.size());
      if (node instanceof ObjectNode object) {
        List<String> names = new ArrayList<>();
        object.fieldNames().forEachRemaining(names::add);
        changeField(object, names.get(chosen));
      } else if (node instanceof ArrayNode array) {
        changeItem(array, chosen);
      }
    }
  }

  private void changeField(ObjectNode object, String name) {
    switch (random.nextInt(4)) {
      case 0 -> object.remove(name);
      case 1 -> object.set(name, value());
      default -> change(object.get(name));
    }
  }

  private void changeItem(ArrayNode array, int index) {
    switch (random.nextInt(4)) {
      case 0 -> array.set(index, value());
      case 1 -> array.add(array.get(index).deepCopy());
      default -> change(array.get(index));
    }
  }

  private JsonNode value() {
    String text = VALUES.get(random.nextInt(VALUES.size()));
    try {
      return JSON.readTree(text);
    } catch (IOException impossible) {
      throw new IllegalStateException("the values are JSON", impossible);
    }
  }

  /** Returns a sample with some changes. */
  byte[] next() {
    byte[] bytes = sample().clone();
    int changes = 1 + random.nextInt(MOST_CHANGES);
    for (int i = 0; i < changes; i++) {
      bytes = changed(bytes);
    }
    return bytes;
  }

  private byte[] sample() {
    return samples.get(random.nextInt(samples.size()));
  }

  private byte[] changed(byte[] bytes) {
    int from = random.nextInt(bytes.length + 1);
    int to = Math.min(bytes.length, from + random.nextInt(16));
    String piece = PIECES.get(random.nextInt(PIECES.size()));
    return switch (random.nextInt(6)) {
      case 0 -> joined(bytes, from, new byte[] {(byte) random.nextInt(256)}, from);
      case 1 -> joined(bytes, from, new byte[0], to);
      case 2 -> joined(bytes, from, piece.getBytes(StandardCharsets.UTF_8), from);
      case 3 -> joined(bytes, from, piece.getBytes(StandardCharsets.UTF_8), valueEnd(bytes, from));
      case 4 -> joined(bytes, from, part(sample()), to);
      default -> joined(bytes, from, new byte[0], bytes.length);
    };
  }

  /** Returns where the value that begins here ends, so that whole values are often replaced. */
  private static int valueEnd(byte[] bytes, int from) {
    int end = from;
    while (end < bytes.length && ",}]\n".indexOf(bytes[end]) < 0) {
      end++;
    }
    return end;
  }

  private byte[] part(byte[] bytes) {
    int from = random.nextInt(bytes.length + 1);
    int to = from + random.nextInt(bytes.length - from + 1);
    return Arrays.copyOfRange(bytes, from, to);
  }

  private static byte[] joined(byte[] bytes, int from, byte[] middle, int to) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.write(bytes, 0, from);
    all.writeBytes(middle);
    all.write(bytes, to, bytes.length - to);
    return all.toByteArray();
  }
}
