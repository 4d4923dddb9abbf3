package org.skylarkfork.runtime.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.util.List;
import org.skylarkfork.core.relay.RateLimit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link HeaderValues}. */
public final class HeaderValuesTest {

  @Test
  public void missingRateLimitIsNone() {
    assertEquals(HeaderValues.rateLimit(List.of()), RateLimit.NONE);
  }

  @Test
  public void rateLimitIsParsed() {
    assertEquals(HeaderValues.rateLimit(List.of("2.7")), new RateLimit(2.7));
    assertEquals(HeaderValues.rateLimit(List.of(" 0 ")), new RateLimit(0));
    assertEquals(HeaderValues.rateLimit(List.of("1e300")), new RateLimit(1e300));
  }

  /** Two numbers in one head: the upstream gets no more than the smaller one. */
  @Test
  public void smallestOfSeveralRateLimitsApplies() {
    assertEquals(HeaderValues.rateLimit(List.of("4", "2.5")), new RateLimit(2.5));
    assertEquals(HeaderValues.rateLimit(List.of("4, 2.5")), new RateLimit(2.5));
    assertEquals(HeaderValues.rateLimit(List.of("soon", "3")), new RateLimit(3));
    assertEquals(HeaderValues.rateLimit(List.of("2,7x")), new RateLimit(2));
  }

  /** What is no number. */
  @DataProvider
  public Object[][] unreadable() {
    return new Object[][] {
      {""}, {"soon"}, {"-1"}, {"NaN"}, {"Infinity"}, {"1e999"}, {"--"}, {"1 2"}
    };
  }

  /** A value that makes no sense is no limit and lifts none. */
  @Test(dataProvider = "unreadable")
  public void malformedRateLimitIsIgnored(String value) {
    assertNull(HeaderValues.rateLimit(List.of(value)));
  }
}
