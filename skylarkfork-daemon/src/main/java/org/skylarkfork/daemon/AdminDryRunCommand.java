package org.skylarkfork.daemon;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Tells which rule a draft would match and why. */
@Command(
    name = "dry-run",
    description = "Tells which rule a draft would match, why, and which version it would get.")
public final class AdminDryRunCommand extends AdminOptions {

  @Required
  @Option(name = "--team", title = "TEAM", description = "Team that would send it.")
  private String team;

  @Option(name = "--model", title = "MODEL", description = "Model that it would name.")
  private String model = "auto";

  @Option(name = "--prompt", title = "TEXT", description = "Prompt that it would have.")
  private String prompt = "Hello";

  @Override
  public Integer call() throws IOException, InterruptedException {
    ObjectNode body = new ObjectMapper().createObjectNode();
    body.put("model", model);
    body.putArray("messages").addObject().put("role", "user").put("content", prompt);
    String query = "dry-run?team=" + URLEncoder.encode(team, StandardCharsets.UTF_8);
    show(client().post(query, body.toString()));
    return ExitCode.SUCCESS;
  }
}
