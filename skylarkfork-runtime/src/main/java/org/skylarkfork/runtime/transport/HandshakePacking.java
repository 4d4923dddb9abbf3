package org.skylarkfork.runtime.transport;

import org.skylarkfork.runtime.codec.CodecException;
import org.skylarkfork.runtime.packed.PackedReader;
import org.skylarkfork.runtime.packed.PackedWriter;
import org.skylarkfork.runtime.packed.Packing;
import org.skylarkfork.runtime.transport.Handshake.Greeting;
import org.skylarkfork.runtime.transport.Handshake.Refusal;
import org.skylarkfork.runtime.transport.Handshake.Welcome;

/** The first frames of a connection, with written-out code. */
final class HandshakePacking implements Packing<Handshake> {

  // Numbers on the wire; each is used once and never for another record.
  private static final int GREETING = 1;
  private static final int WELCOME = 2;
  private static final int REFUSAL = 3;

  @Override
  public Class<Handshake> type() {
    return Handshake.class;
  }

  @Override
  public void write(Handshake handshake, PackedWriter out) {
    if (handshake instanceof Greeting greeting) {
      out.tagged(GREETING, 5)
          .number(greeting.version())
          .number(greeting.oldestVersion())
          .text(greeting.node())
          .text(greeting.cluster())
          .number(greeting.incarnation());
    } else if (handshake instanceof Welcome welcome) {
      out.tagged(WELCOME, 3)
          .number(welcome.version())
          .text(welcome.node())
          .number(welcome.incarnation());
    } else if (handshake instanceof Refusal refusal) {
      out.tagged(REFUSAL, 2).text(refusal.reason().name()).text(refusal.detail());
    }
  }

  @Override
  public Handshake read(PackedReader in) {
    return in.tagged((tag, components) -> read(tag, components, in));
  }

  private static Handshake read(int tag, PackedReader.Components components, PackedReader in) {
    switch (tag) {
      case GREETING:
        components.consume(5);
        return new Greeting(in.smallNumber(), in.smallNumber(), in.text(), in.text(), in.number());
      case WELCOME:
        components.consume(3);
        return new Welcome(in.smallNumber(), in.text(), in.number());
      case REFUSAL:
        components.consume(2);
        return new Refusal(reason(in.text()), in.text());
      default:
        throw PackedReader.unknown("handshake", tag);
    }
  }

  private static Handshake.Reason reason(String name) {
    try {
      return Handshake.Reason.valueOf(name);
    } catch (IllegalArgumentException unknown) {
      throw new CodecException(
          CodecException.Kind.UNKNOWN_TYPE, "no reason is called " + name, unknown);
    }
  }
}
