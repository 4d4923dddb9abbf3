package org.skylarkfork.standin.weights;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.time.Instant;
import org.testng.annotations.Test;

/** Tests of the rate limit. */
public class TokenBucketTest {

  @Test
  public void allowsBurstThenRate() {
    Instant start = Instant.EPOCH;
    TokenBucket bucket = new TokenBucket(2, 2, start);
    assertEquals(bucket.take(start), Duration.ZERO);
    assertEquals(bucket.take(start), Duration.ZERO);
    assertEquals(bucket.take(start), Duration.ofMillis(500));

    assertEquals(bucket.take(start.plusMillis(250)), Duration.ofMillis(250));
    assertEquals(bucket.take(start.plusMillis(500)), Duration.ZERO);
    Instant later = start.plusSeconds(100);
    assertEquals(bucket.take(later), Duration.ZERO);
    assertEquals(bucket.take(later), Duration.ZERO);
    assertEquals(bucket.take(later), Duration.ofMillis(500));
  }
}
