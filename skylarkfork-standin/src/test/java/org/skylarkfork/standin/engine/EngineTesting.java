package org.skylarkfork.standin.engine;

import java.util.List;
import org.skylarkfork.standin.announce.AnnouncerSettings;
import org.skylarkfork.standin.announce.LoadedModel;

/** Settings and bodies that the tests of the engine share. */
final class EngineTesting {

  static final String CHAT = "/v1/chat/completions";
  static final String STATE = "/control/state";
  static final String ID = "X-Request-Id";

  private EngineTesting() {}

  static EngineSettings settings() {
    LoadedModel small = new LoadedModel("ruling-small", "2", List.of());
    return EngineSettings.of("engine-1", "utrecht-a", List.of(small), AnnouncerSettings.none());
  }

  /** Makes an engine whose first step never ends within a test. */
  static EngineSettings stuck(int capacity, int queue) {
    return settings()
        .withSpeed(new EngineSpeed(1e-6, 0, 0, null))
        .withLimits(new EngineLimits(capacity, queue, 0, 0, 0, 0));
  }

  static String chat(String prompt, boolean stream) {
    String form =
        "{\"model\":\"ruling-small:2\",\"stream\":%s,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}";
    return form.formatted(stream, prompt);
  }

  static String fault(String kind) {
    return "{\"kind\":\"" + kind + "\"}";
  }
}
