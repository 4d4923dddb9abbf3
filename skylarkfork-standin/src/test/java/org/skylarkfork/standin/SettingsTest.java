package org.skylarkfork.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.skylarkfork.runtime.settings.SettingsException;
import org.skylarkfork.standin.announce.AnnouncerSettings;
import org.skylarkfork.standin.announce.LoadedModel;
import org.skylarkfork.standin.engine.EngineSettings;
import org.skylarkfork.standin.rating.RatingSettings;
import org.skylarkfork.standin.service.ServiceSettings;
import org.skylarkfork.standin.weights.WeightsSettings;
import org.testng.annotations.Test;

/** Tests that settings are read from YAML and filled in with defaults. */
public class SettingsTest {

  @Test
  public void fillsInWhatAnEngineLeavesOut() {
    EngineSettings read =
        EngineSettings.reader()
            .read(
                """
                id: e-1
                zone: utrecht-a
                models:
                  - {model: ruling-small, version: "2"}
                checksFencing: true
                announce:
                  entries: ["127.0.0.1:9000"]
                """);

    assertEquals(
        read,
        EngineSettings.of(
            "e-1",
            "utrecht-a",
            List.of(new LoadedModel("ruling-small", "2", List.of())),
            AnnouncerSettings.to(List.of("127.0.0.1:9000"))));
  }

  @Test
  public void readsPartsOfAnEngine() {
    EngineSettings read =
        EngineSettings.reader()
            .read(
                """
                id: e-1
                zone: utrecht-a
                speed: {tokensPerSecond: 50, loadTime: 2s}
                limits: {capacity: 3}
                reports: {loadLag: 500ms}
                """);

    assertEquals(read.speed().tokensPerSecond(), 50.0);
    assertEquals(read.speed().loadTime(), Duration.ofSeconds(2));
    assertEquals(read.limits().capacity(), 3);
    assertEquals(read.limits().queue(), 32);
    assertEquals(read.reports().loadLag(), Duration.ofMillis(500));
  }

  @Test
  public void fillsInWhatTheOthersLeaveOut() {
    assertEquals(
        ServiceSettings.reader().read("{id: s-1, zone: utrecht-b, service: lookup}"),
        ServiceSettings.of("s-1", "utrecht-b", "lookup", AnnouncerSettings.none()));
    assertEquals(
        RatingSettings.reader().read("qualities: {\"ruling-small:2\": 0.6}"),
        RatingSettings.of(Map.of("ruling-small:2", 0.6)));
    assertEquals(
        WeightsSettings.reader().read("{fetchesPerSecond: 2, burst: 3}"), WeightsSettings.of(2, 3));
  }

  @Test
  public void refusesAnUnknownKey() {
    SettingsException refusal =
        expectThrows(
            SettingsException.class,
            () -> EngineSettings.reader().read("{id: e, zone: z, tokens: 3}"));
    assertTrue(refusal.getMessage().contains("tokens"), refusal.getMessage());
  }
}
