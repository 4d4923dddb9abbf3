package org.skylarkfork.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ConfigurationChange;

/** What all admin commands share: the daemon's address, the key and how results are shown. */
abstract class AdminOptions implements Callable<Integer> {

  private static final String ADDRESS_VARIABLE = "SKYLARKFORK_ADMIN";
  private static final String KEY_VARIABLE = "SKYLARKFORK_OPERATOR_KEY";
  private static final long POLL_MILLIS = 200;
  private static final int MOST_POLLS = 150;
  private static final int NOT_SERVING = 503;

  @Option(
      name = "--address",
      title = "HOST:PORT",
      description = "Operators' listener of any daemon; else the variable SKYLARKFORK_ADMIN.")
  private @Nullable String address;

  @Option(
      name = "--key-file",
      title = "FILE",
      description = "File with an operator key; else the variable SKYLARKFORK_OPERATOR_KEY.")
  private @Nullable String keyFile;

  @Option(name = "--json", description = "Prints JSON in place of a table.")
  private boolean json;

  @Option(
      name = "--change-id",
      title = "ID",
      description = "Id of the change; a resend with the same id gets the first answer.")
  private @Nullable String changeId;

  @Option(
      name = "--if-revision",
      title = "N",
      description = "Accepts the change only if the configuration is at this revision.")
  private @Nullable Long expectedRevision;

  @Option(name = "--wait", description = "Waits until the change is in force everywhere.")
  private boolean wait;

  /** Returns a client for the daemon. */
  AdminClient client() throws IOException {
    return new AdminClient(
        orVariable(address, ADDRESS_VARIABLE, "--address"),
        keyFile == null
            ? orVariable(null, KEY_VARIABLE, "--key-file")
            : Files.readString(Path.of(keyFile)).strip());
  }

  private static String orVariable(@Nullable String given, String variable, String option)
      throws IOException {
    String value = given == null ? System.getenv(variable) : given;
    if (value == null || value.isBlank()) {
      throw new IOException("Give " + option + " or set the variable " + variable + ".");
    }
    return value;
  }

  /** Submits a change and shows what came of it. */
  int submit(ConfigurationChange change) throws IOException, InterruptedException {
    AdminClient client = client();
    return accepted(client, client.change(change, changeId, expectedRevision));
  }

  /** Submits a change given as JSON and shows what came of it. */
  int submit(String change) throws IOException, InterruptedException {
    AdminClient client = client();
    return accepted(client, client.change(change, changeId, expectedRevision));
  }

  private int accepted(AdminClient client, JsonNode answer)
      throws IOException, InterruptedException {
    show(answer);
    return !wait || inForce(client, answer.path("revision").asLong())
        ? ExitCode.SUCCESS
        : ExitCode.FAILURE;
  }

  private boolean inForce(AdminClient client, long revision)
      throws IOException, InterruptedException {
    for (int poll = 0; poll < MOST_POLLS; poll++) {
      if (isInForce(client, revision)) {
        System.out.println("Revision " + revision + " is in force everywhere.");
        return true;
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
    System.err.println("Revision " + revision + " is accepted but not yet in force everywhere.");
    return false;
  }

  /** Asks once; while the control group elects a leader, nobody knows and it is asked again. */
  private static boolean isInForce(AdminClient client, long revision)
      throws IOException, InterruptedException {
    try {
      return client.get("in-force/" + revision).path("inForce").asBoolean(false);
    } catch (AdminClient.AdminException refused) {
      if (refused.status() != NOT_SERVING) {
        throw refused;
      }
      return false;
    }
  }

  /** Shows a result as the operator asked. */
  void show(JsonNode result) {
    System.out.println(json ? result.toPrettyString() : JsonTable.render(result));
  }
}
