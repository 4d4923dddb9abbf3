package org.skylarkfork.daemon;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;

/** Takes a control VM into the replicated groups or out of them. */
@Command(
    name = "control-vm",
    description = "Takes a control VM into the replicated groups; --remove takes it out.")
public final class AdminControlVmCommand extends AdminOptions {

  @Required
  @Option(name = "--node", title = "NODE", description = "Node name of the control VM.")
  private String node;

  @Option(name = "--remove", description = "Takes it out in place of in.")
  private boolean remove;

  @Override
  public Integer call() throws IOException, InterruptedException {
    ObjectNode body = new ObjectMapper().createObjectNode();
    body.put("node", node);
    body.put("admit", !remove);
    show(client().post("control-vms", body.toString()));
    return ExitCode.SUCCESS;
  }
}
