package org.skylarkfork.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests of {@link EngineGroups}. */
public final class EngineGroupsTest {

  private static final int PROMPTS = 4000;

  @Test
  public void groupsShareEnginesAboutEvenly() {
    int[] engines = new int[4];
    for (int number = 0; number < 400; number++) {
      engines[EngineGroups.groupOf("i-" + number, 4)]++;
    }
    for (int count : engines) {
      assertTrue(count > 70 && count < 130, "of 400: " + count);
    }
    assertEquals(EngineGroups.groupOf("i-1", 1), 0);
  }

  @Test
  public void promptsFollowTheWeightsOfGroups() {
    int[] first = new int[3];
    for (long prompt = 0; prompt < PROMPTS; prompt++) {
      first[EngineGroups.rank(prompt, new int[] {10, 30, 0}).get(0)]++;
    }
    assertEquals(first[2], 0, "it has no engine");
    assertTrue(Math.abs(first[0] - PROMPTS / 4) < PROMPTS / 20, "a quarter: " + first[0]);
  }

  /** A group loses its engines: its prompts go elsewhere, all others stay where they are kept. */
  @Test
  public void onlyPromptsOfLostGroupMove() {
    for (long prompt = 0; prompt < PROMPTS; prompt++) {
      List<Integer> before = EngineGroups.rank(prompt, new int[] {16, 16, 16, 16});
      List<Integer> after = EngineGroups.rank(prompt, new int[] {16, 0, 16, 16});
      assertEquals(before.size(), 4);
      assertEquals(after.get(0), before.get(0) == 1 ? before.get(1) : before.get(0));
    }
  }

  @Test
  public void nothingIsNamedWithoutEngines() {
    assertEquals(EngineGroups.rank(7, new int[] {0, 0}), List.of());
  }
}
