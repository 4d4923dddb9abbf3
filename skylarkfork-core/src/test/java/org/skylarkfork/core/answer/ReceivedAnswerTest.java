package org.skylarkfork.core.answer;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ReceivedAnswer}. */
public final class ReceivedAnswerTest {

  /** Returns framing, whether its end was reached, end of the connection and the verdict. */
  @DataProvider
  public static Object[][] ends() {
    return new Object[][] {
      {AnswerFraming.NO_HEAD, false, ConnectionEnd.LOST, AnswerEnd.NO_ANSWER},
      {AnswerFraming.NO_BODY, true, ConnectionEnd.OPEN, AnswerEnd.WHOLE},
      {AnswerFraming.LENGTH, true, ConnectionEnd.OPEN, AnswerEnd.WHOLE},
      {AnswerFraming.LENGTH, true, ConnectionEnd.LOST, AnswerEnd.WHOLE},
      {AnswerFraming.LENGTH, false, ConnectionEnd.CLOSED_BY_UPSTREAM, AnswerEnd.BODY_CUT},
      {AnswerFraming.CHUNKS, true, ConnectionEnd.OPEN, AnswerEnd.WHOLE},
      {AnswerFraming.CHUNKS, false, ConnectionEnd.CLOSED_BY_UPSTREAM, AnswerEnd.BODY_CUT},
      {AnswerFraming.CHUNKS, false, ConnectionEnd.LOST, AnswerEnd.BODY_CUT},
      {AnswerFraming.CONNECTION, true, ConnectionEnd.CLOSED_BY_UPSTREAM, AnswerEnd.WHOLE},
      {AnswerFraming.CONNECTION, true, ConnectionEnd.LOST, AnswerEnd.CONNECTION_LOST},
      {AnswerFraming.CONNECTION, false, ConnectionEnd.OPEN, AnswerEnd.CONNECTION_LOST},
    };
  }

  /** Guards against a cut answer that counts as whole. */
  @Test(dataProvider = "ends")
  public void answerIsWholeOnlyIfItsEndIsKnown(
      AnswerFraming framing, boolean endReached, ConnectionEnd end, AnswerEnd expected) {
    assertEquals(new ReceivedAnswer(framing, endReached, 9, 0, 0, end).end(), expected);
  }

  /** Guards against a stream that ends inside an event and counts as whole. */
  @Test(dataProvider = "ends")
  public void noStreamIsWholeInsideAnEvent(
      AnswerFraming framing, boolean endReached, ConnectionEnd end, AnswerEnd withoutEvent) {
    AnswerEnd expected = withoutEvent == AnswerEnd.WHOLE ? AnswerEnd.EVENT_CUT : withoutEvent;
    assertEquals(new ReceivedAnswer(framing, endReached, 9, 1, 4, end).end(), expected);
  }
}
