package org.skylarkfork.standin.engine;

import java.time.Clock;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.standin.http.Json;

/** Writes the answers of one of the two calls of the OpenAI-style protocol. */
enum AnswerFormat {
  /** The format of {@code /v1/chat/completions}. */
  CHAT("chat.completion", "chat.completion.chunk"),
  /** The format of {@code /v1/completions}. */
  PLAIN("text_completion", "text_completion");

  /** The frame that ends a stream. */
  static final String DONE = "data: [DONE]\n\n";

  private static final String ROLE = "assistant";

  private final String wholeObject;
  private final String chunkObject;

  AnswerFormat(String wholeObject, String chunkObject) {
    this.wholeObject = wholeObject;
    this.chunkObject = chunkObject;
  }

  Completion whole(String id, String model, String text, Completion.Usage usage) {
    Completion.Message message = new Completion.Message(ROLE, text);
    Completion.Choice choice =
        this == CHAT
            ? new Completion.Choice(0, message, null, null, "stop")
            : new Completion.Choice(0, null, null, text, "stop");
    return completion(id, wholeObject, model, null, choice, usage);
  }

  String chunk(String id, String model, Job.Part tokens) {
    Completion.Choice choice = part(tokens.text(), null);
    return frame(completion(id, chunkObject, model, tokens.tokens(), choice, null));
  }

  String lastChunk(String id, String model, Completion.Usage usage) {
    return frame(completion(id, chunkObject, model, 0, part("", "stop"), usage));
  }

  static String frame(Object body) {
    return "data: " + Json.write(body) + "\n\n";
  }

  private Completion.Choice part(String text, @Nullable String finishReason) {
    return this == CHAT
        ? new Completion.Choice(0, null, new Completion.Message(ROLE, text), null, finishReason)
        : new Completion.Choice(0, null, null, text, finishReason);
  }

  private static Completion completion(
      String id,
      String object,
      String model,
      @Nullable Integer tokens,
      Completion.Choice choice,
      Completion.@Nullable Usage usage) {
    long created = Clock.systemUTC().instant().getEpochSecond();
    return new Completion(id, object, created, model, tokens, List.of(choice), usage);
  }
}
