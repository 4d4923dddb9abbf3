package org.skylarkfork.runtime;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.ConfigurationCommand.SubmitChange;
import org.skylarkfork.core.command.ConfigurationResult;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.core.configuration.ConfigurationMachine;
import org.skylarkfork.core.request.RequestKind;
import org.skylarkfork.runtime.codec.Codec;
import org.skylarkfork.runtime.codec.CodecException;
import org.skylarkfork.runtime.http.AnnouncementParser;
import org.skylarkfork.runtime.http.BadRequestException;
import org.skylarkfork.runtime.http.HttpNames;
import org.skylarkfork.runtime.http.RequestParser;
import org.skylarkfork.runtime.settings.DaemonSettings;
import org.skylarkfork.runtime.settings.SettingsException;
import org.skylarkfork.runtime.settings.SettingsReader;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Gives bad input to each parser at the edge; only typed errors may come of it. */
public class BadInputTest {

  private static final Instant NOW = Instant.parse("2026-06-06T08:00:00Z");
  private static final Pattern EXAMPLE = Pattern.compile("```json\n(.*?)```", Pattern.DOTALL);
  private static final Path ROOT = Path.of("..");
  private static final String CHAT =
      "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"},{\"role\":\"user\","
          + "\"content\":[{\"type\":\"text\",\"text\":\"a\"}]}],\"stream\":true,\"max_tokens\":9}";
  private static final String COMPLETION = "{\"model\":\"m\",\"prompt\":\"hi\",\"max_tokens\":9}";

  private final ObjectMapper json = new ObjectMapper();
  private int accepted;
  private int refused;

  @DataProvider
  Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}, {4L}};
  }

  /** Headers that take any value, as a decoder without checks would. */
  private static HttpHeaders unchecked() {
    return DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
  }

  private static UniformRandomProvider random(long seed) {
    return RandomSource.XO_SHI_RO_256_PP.create(seed);
  }

  private void run(
      String what, long seed, int inputs, List<String> samples, Consumer<byte[]> parser) {
    accepted = 0;
    refused = 0;
    boolean trees = samples.get(0).startsWith("{");
    Mutations mutations = new Mutations(random(seed), samples);
    for (int i = 0; i < inputs; i++) {
      byte[] input = trees && i % 2 == 0 ? mutations.nextTree() : mutations.next();
      try {
        parser.accept(input);
      } catch (RuntimeException | StackOverflowError fault) {
        String text = new String(input, StandardCharsets.UTF_8);
        throw new AssertionError(
            what + ", input " + i + ": " + text.substring(0, Math.min(500, text.length())), fault);
      }
    }
    System.out.printf(
        "bad input: %s, seed %d: %d inputs, %d accepted, %d refused%n",
        what, seed, inputs, accepted, refused);
    assertEquals(accepted + refused, inputs);
  }

  private void request(Runnable parsing) {
    try {
      parsing.run();
      accepted++;
    } catch (BadRequestException typed) {
      assertFalse(typed.error().message().isEmpty());
      refused++;
    }
  }

  @Test(dataProvider = "seeds")
  public void bodiesOfDrafts(long seed) {
    RequestParser parser = new RequestParser(json, Duration.ofSeconds(30));
    HttpHeaders headers = new DefaultHttpHeaders().add("Authorization", "Bearer k");
    run(
        "drafts",
        seed,
        20_000,
        List.of(CHAT, COMPLETION),
        body -> {
          RequestKind kind = body.length % 2 == 0 ? RequestKind.CHAT : RequestKind.COMPLETION;
          request(() -> parser.draft("r", kind, headers, body, NOW));
        });
  }

  @Test(dataProvider = "seeds")
  public void headersAndPathsOfCalls(long seed) {
    RequestParser parser = new RequestParser(json, Duration.ofSeconds(30));
    List<String> names =
        List.of(
            "Authorization",
            HttpNames.PRIORITY,
            HttpNames.SESSION,
            HttpNames.SESSION_TOKEN,
            HttpNames.IDEMPOTENCY_KEY,
            HttpNames.DEADLINE_MILLIS,
            "Connection",
            "X-Other");
    run(
        "calls",
        seed,
        20_000,
        List.of("Bearer k", "/a/b?c=d%20e", "5", "close, X-Other", "POST"),
        bytes -> {
          String text = new String(bytes, StandardCharsets.ISO_8859_1);
          HttpHeaders headers = unchecked().add("Authorization", "Bearer k");
          headers.add(names.get(bytes.length % names.size()), text);
          request(() -> parser.call("r", text, text, "/" + text, headers, new byte[0], NOW));
        });
  }

  @Test(dataProvider = "seeds")
  public void announcements(long seed) throws IOException {
    AnnouncementParser parser = new AnnouncementParser(json);
    List<String> samples = examples("UPSTREAMS.md");
    run("announcements", seed, 20_000, samples, body -> request(() -> parser.parse(body)));
  }

  @Test(dataProvider = "seeds")
  public void settings(long seed) throws IOException {
    SettingsReader<DaemonSettings> reader = DaemonSettings.reader();
    String sample =
        Files.readString(ROOT.resolve(Path.of("config", "examples", "bond", "vm-1.yaml")));
    run(
        "settings",
        seed,
        2_500,
        List.of(sample),
        bytes -> {
          try {
            reader.read(new String(bytes, StandardCharsets.UTF_8));
            accepted++;
          } catch (SettingsException typed) {
            assertFalse(typed.problems().isEmpty());
            refused++;
          }
        });
  }

  @Test(dataProvider = "seeds")
  public void changes(long seed) throws IOException {
    // A change that is accepted by mistake would be in every daemon's configuration, so each
    // accepted one must be readable again, and the machine must go on.
    Codec codec = new Codec();
    List<String> samples = examples("CONFIGURATION.md");
    ConfigurationMachine machine = new ConfigurationMachine();
    int[] index = {0};
    samples.forEach(
        sample -> submit(machine, index[0]++, codec.fromJson(sample, ConfigurationChange.class)));
    int[] invalid = {0};
    run(
        "changes",
        seed,
        10_000,
        samples,
        bytes -> {
          try {
            ConfigurationChange change =
                codec.fromJson(
                    new String(bytes, StandardCharsets.UTF_8), ConfigurationChange.class);
            CommandResult result = submit(machine, index[0]++, change);
            if (result instanceof ConfigurationResult.Accepted) {
              accepted++;
              codec.fromBytes(codec.toBytes(machine.snapshot()), machine.snapshot().getClass());
            } else {
              assertTrue(result instanceof ConfigurationResult.Invalid, String.valueOf(result));
              invalid[0]++;
              refused++;
            }
          } catch (CodecException typed) {
            refused++;
          }
        });
    System.out.printf("bad input: of the refused changes %d were found invalid%n", invalid[0]);
  }

  private static CommandResult submit(
      ConfigurationMachine machine, int index, ConfigurationChange change) {
    return machine.apply(
        index, NOW, new SubmitChange("c" + index, "anna", null, null, change, "" + index));
  }

  private static List<String> examples(String page) throws IOException {
    List<String> found = new ArrayList<>();
    Matcher matcher = EXAMPLE.matcher(Files.readString(ROOT.resolve("docs").resolve(page)));
    while (matcher.find()) {
      found.add(matcher.group(1));
    }
    return found;
  }
}
