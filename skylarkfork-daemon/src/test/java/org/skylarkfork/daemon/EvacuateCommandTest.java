package org.skylarkfork.daemon;

import static org.testng.Assert.assertEquals;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link EvacuateCommand} against a control VM that notes what it is asked. */
public final class EvacuateCommandTest {

  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  private final List<String> asked = new CopyOnWriteArrayList<>();
  private int status = 200;
  private HttpServer control;

  /** Opens the control VM. */
  @BeforeMethod
  public void open() throws IOException {
    asked.clear();
    status = 200;
    control = HttpServer.create(new InetSocketAddress(LOOPBACK, 0), 0);
    control.createContext(
        "/",
        exchange -> {
          asked.add(exchange.getRequestMethod() + " " + exchange.getRequestURI().getPath());
          exchange.sendResponseHeaders(status, -1);
          exchange.close();
        });
    control.start();
  }

  /** Closes the control VM. */
  @AfterMethod
  public void close() {
    control.stop(0);
  }

  private int run(String... words) {
    String[] all = new String[words.length + 3];
    all[0] = "evacuate";
    all[1] = "--control";
    all[2] = LOOPBACK.getHostAddress() + ":" + control.getAddress().getPort();
    System.arraycopy(words, 0, all, 3, words.length);
    return Skylarkfork.run(all);
  }

  @Test
  public void ordersGoToTheControlVm() {
    assertEquals(run("utrecht-a"), ExitCode.SUCCESS);
    assertEquals(run(), ExitCode.SUCCESS);
    assertEquals(run("--undo", "utrecht-a"), ExitCode.SUCCESS);
    assertEquals(
        asked,
        List.of(
            "PUT /relay/v1/evacuations/utrecht-a",
            "GET /relay/v1/evacuations",
            "DELETE /relay/v1/evacuations/utrecht-a"));
  }

  @Test
  public void refusedOrUnclearOrdersFail() {
    assertEquals(run("--undo"), ExitCode.USAGE);
    status = 404;
    assertEquals(run("nowhere"), ExitCode.FAILURE);
    assertEquals(
        Skylarkfork.run("evacuate", "--control", "127.0.0.1:1", "utrecht-a"), ExitCode.FAILURE);
  }
}
