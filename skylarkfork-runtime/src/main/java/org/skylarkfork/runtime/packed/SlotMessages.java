package org.skylarkfork.runtime.packed;

import org.skylarkfork.core.message.PeerMessage;
import org.skylarkfork.core.message.SlotMessage;
import org.skylarkfork.core.message.SlotMessage.SlotAnswer;
import org.skylarkfork.core.message.SlotMessage.SlotAsk;
import org.skylarkfork.core.message.SlotMessage.SlotNews;
import org.skylarkfork.core.message.SlotMessage.SlotOutcome;
import org.skylarkfork.core.message.SlotMessage.SlotProgress;

/** Packing of the messages on slots of plain services. */
final class SlotMessages {

  /** Lowest tag of these messages; lower tags belong to other families. */
  static final int FIRST_TAG = 48;

  // Tags on the wire; a tag is never reused for another record.
  private static final int SLOT_ASK = FIRST_TAG;
  private static final int SLOT_ANSWER = 49;
  private static final int SLOT_NEWS = 50;

  private static final int ASK_COMPONENTS = 10;
  private static final int ANSWER_COMPONENTS = 5;
  private static final int NEWS_COMPONENTS = 4;

  private SlotMessages() {}

  static void write(SlotMessage message, PackedWriter out) {
    if (message instanceof SlotAsk ask) {
      out.tagged(SLOT_ASK, ASK_COMPONENTS)
          .number(ask.number())
          .text(ask.service())
          .text(ask.zone())
          .text(ask.team())
          .number(ask.rank())
          .number(ask.objectiveMillis())
          .number(ask.leftMillis())
          .number(ask.contentKey())
          .list(ask.versions(), (version, to) -> to.text(version))
          .list(ask.excluded(), (upstream, to) -> to.text(upstream));
    } else if (message instanceof SlotAnswer answer) {
      out.tagged(SLOT_ANSWER, ANSWER_COMPONENTS)
          .number(answer.number())
          .text(answer.outcome().name())
          .optionalText(answer.upstream())
          .number(answer.waitMillis())
          .number(answer.retryAfterMillis());
    } else if (message instanceof SlotNews news) {
      out.tagged(SLOT_NEWS, NEWS_COMPONENTS)
          .number(news.number())
          .text(news.progress().name())
          .number(news.millis())
          .number(news.backoffMillis());
    }
  }

  static PeerMessage read(int tag, PackedReader.Components components, PackedReader in) {
    switch (tag) {
      case SLOT_ASK:
        components.consume(ASK_COMPONENTS);
        return new SlotAsk(
            in.number(),
            in.text(),
            in.text(),
            in.text(),
            in.smallNumber(),
            in.smallNumber(),
            in.smallNumber(),
            in.number(),
            in.list(PackedReader::text),
            in.list(PackedReader::text));
      case SLOT_ANSWER:
        components.consume(ANSWER_COMPONENTS);
        return new SlotAnswer(
            in.number(),
            RelayValues.constant(SlotOutcome.class, in.text()),
            in.optionalText(),
            in.smallNumber(),
            in.smallNumber());
      case SLOT_NEWS:
        components.consume(NEWS_COMPONENTS);
        return new SlotNews(
            in.number(),
            RelayValues.constant(SlotProgress.class, in.text()),
            in.smallNumber(),
            in.smallNumber());
      default:
        throw PackedReader.unknown("message", tag);
    }
  }
}
