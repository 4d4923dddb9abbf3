package org.skylarkfork.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Asks an entry which entries to use and keeps the answer for its lifetime, as callers do. */
public final class EntryPicker {

  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
  private final ObjectMapper json = new ObjectMapper();
  private final List<String> first;
  private final UniformRandomProvider random;
  private List<String> listed = List.of();
  private long validUntil;

  /**
   * Makes a picker.
   *
   * @param first addresses to ask before any list is known
   * @param seed seed of the draws
   */
  public EntryPicker(List<String> first, long seed) {
    this.first = List.copyOf(first);
    this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
  }

  /**
   * Picks an entry.
   *
   * @param avoid address that just failed, or empty; picked only if there is no other
   */
  public synchronized String pick(String avoid) {
    if (listed.isEmpty() || System.nanoTime() - validUntil >= 0) {
      refresh(avoid);
    }
    List<String> choice = listed.isEmpty() ? first : listed;
    List<String> others = choice.stream().filter(entry -> !entry.equals(avoid)).toList();
    List<String> usable = others.isEmpty() ? choice : others;
    return usable.get(random.nextInt(usable.size()));
  }

  private void refresh(String avoid) {
    List<String> asked = new ArrayList<>(listed);
    asked.addAll(first);
    asked.remove(avoid);
    for (String entry : asked) {
      if (ask(entry)) {
        return;
      }
    }
  }

  private boolean ask(String entry) {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + entry + "/v1/entries"))
              .timeout(TIMEOUT)
              .build();
      HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
      JsonNode root = json.readTree(response.body());
      List<String> found = new ArrayList<>();
      root.path("entries")
          .forEach(one -> found.add(one.path("host").asText() + ":" + one.path("port").asInt()));
      if (found.isEmpty()) {
        return false;
      }
      listed = List.copyOf(found);
      validUntil = System.nanoTime() + root.path("lifetimeMillis").asLong() * NANOS_PER_MILLI;
      return true;
    } catch (IOException unreachable) {
      return false;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
