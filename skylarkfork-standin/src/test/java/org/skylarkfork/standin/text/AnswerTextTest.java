package org.skylarkfork.standin.text;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.util.List;
import org.testng.annotations.Test;

/** Tests that answers can be told apart and checked. */
public class AnswerTextTest {

  private static List<String> tokens(String requestId) {
    return AnswerText.tokens("m:1", "prompt", requestId, 10, 20, false);
  }

  @Test
  public void dependsOnTheRequestOnly() {
    assertEquals(tokens("r-1"), tokens("r-1"));
    assertNotEquals(tokens("r-1"), tokens("r-2"));
  }

  @Test
  public void checkFindsForeignCutAndDoubledAnswers() {
    List<String> tokens = tokens("r-1");
    String whole = String.join("", tokens);
    String cut = String.join("", tokens.subList(0, tokens.size() - 1));

    assertEquals(AnswerText.check("prompt", whole), AnswerText.Finding.WHOLE);
    assertEquals(AnswerText.check("other", whole), AnswerText.Finding.FOREIGN);
    assertEquals(AnswerText.check("prompt", cut), AnswerText.Finding.CUT);
    assertEquals(AnswerText.check("prompt", whole + "noon "), AnswerText.Finding.DOUBLED);
  }

  @Test
  public void prefixesGrowByFullBlocks() {
    List<String> words = PromptText.tokens("word ".repeat(2 * PromptText.BLOCK_TOKENS + 1));
    List<String> prefixes = PromptText.prefixes("m:1", words);

    assertEquals(prefixes.size(), 2);
    assertEquals(PromptText.prefixes("m:1", words.subList(0, 20)), prefixes.subList(0, 1));
    assertNotEquals(PromptText.prefixes("m:2", words), prefixes);
  }
}
