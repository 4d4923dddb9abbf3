package org.skylarkfork.standin.measure;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.skylarkfork.runtime.relay.ContentHash;

/** Time to know a request again, by the length of its body. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class ContentHashBenchmark {

  /** Bytes of the body. */
  @Param({"0", "2048", "65536"})
  public int bodyBytes;

  private HttpRequest head;
  private ByteBuf body;

  /** Makes the request. */
  @Setup
  public void setUp() {
    head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/lookup/register/17");
    head.headers().set(HttpHeaderNames.HOST, "host.example");
    body = Unpooled.wrappedBuffer(new byte[bodyBytes]);
  }

  /** Hashes what the request has in common with the same one sent again. */
  @Benchmark
  public long hash() {
    return ContentHash.of(head, body);
  }
}
