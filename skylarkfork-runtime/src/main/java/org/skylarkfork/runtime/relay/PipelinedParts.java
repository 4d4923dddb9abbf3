package org.skylarkfork.runtime.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.runtime.limits.HeadSize;
import org.skylarkfork.runtime.limits.RequestBuffers;

/**
 * Parts of requests that a caller has sent behind the one that is running.
 *
 * <p>If they grow beyond a limit they are dropped. The connection then ends with the answer in
 * progress, which tells the caller that the requests behind it weren't processed.
 */
final class PipelinedParts implements RequestBuffers.Holder {

  private static final int MAX_PARTS = 256;

  /** Heap of a part beside its bytes. */
  private static final int PART_BYTES = 200;

  private final RequestBuffers heads;
  private final Runnable onRefused;
  private final Deque<HttpObject> parts = new ArrayDeque<>();
  private int bytes;
  private int incompleteBytes;
  private boolean refused;

  /**
   * Creates an empty queue.
   *
   * @param heads limits on the heap that requests take
   * @param onRefused called when the parts were dropped and no more are accepted
   */
  PipelinedParts(RequestBuffers heads, Runnable onRefused) {
    this.heads = heads;
    this.onRefused = onRefused;
  }

  /** Adds a part, which is released unless it is kept. */
  void add(HttpObject part) {
    if (refused) {
      ReferenceCountUtil.release(part);
      return;
    }
    HttpObject kept = copyOf(part);
    parts.addLast(kept);
    bytes += sizeOf(kept);
    if (parts.size() > MAX_PARTS) {
      refuse();
    }
    record();
  }

  /** Copies the bytes of a part, which otherwise keeps the whole buffer of a read. */
  private static HttpObject copyOf(HttpObject part) {
    if (part instanceof HttpContent content && content.content().isReadable()) {
      ByteBuf copy = Unpooled.copiedBuffer(content.content());
      HttpContent copied = content.replace(copy);
      content.release();
      return copied;
    }
    return part;
  }

  private static int sizeOf(HttpObject part) {
    int size = PART_BYTES;
    if (part instanceof HttpRequest request) {
      size += HeadSize.of(request);
    }
    if (part instanceof HttpContent content) {
      size += content.content().readableBytes();
    }
    if (part instanceof LastHttpContent last) {
      size += last.trailingHeaders().size() * HeadSize.LINE_BYTES;
    }
    return size;
  }

  /** Records the size of a head behind the parts that is incomplete. */
  void setIncomplete(int size) {
    incompleteBytes = size;
    record();
  }

  /** Returns the size of the incomplete head, which is no longer behind another request. */
  int takeIncomplete() {
    int size = incompleteBytes;
    setIncomplete(0);
    return size;
  }

  private void record() {
    heads.resize(this, refused ? 0 : bytes + incompleteBytes);
  }

  /** Removes the first part, or returns null if there is none. */
  @Nullable HttpObject poll() {
    HttpObject first = parts.pollFirst();
    if (first != null) {
      bytes -= sizeOf(first);
      record();
    }
    return first;
  }

  boolean isEmpty() {
    return parts.isEmpty();
  }

  /** Returns whether parts were dropped, so that no request behind the running one is served. */
  boolean isRefused() {
    return refused;
  }

  @Override
  public void refuse() {
    refused = true;
    release();
    onRefused.run();
  }

  /** Drops all parts. */
  void release() {
    parts.forEach(ReferenceCountUtil::release);
    parts.clear();
    bytes = 0;
    incompleteBytes = 0;
    heads.remove(this);
  }
}
