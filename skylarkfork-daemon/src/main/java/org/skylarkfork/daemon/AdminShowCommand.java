package org.skylarkfork.daemon;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Shows a view of a daemon's state. */
@Command(
    name = "show",
    description =
        "Shows configuration, revisions [N], in-force N, members, entries, upstreams, groups,"
            + " orders or statement TEAM.")
public final class AdminShowCommand extends AdminOptions {

  @Required
  @Arguments(title = "VIEW", description = "Name of the view, then what it is about.")
  private List<String> view = new ArrayList<>();

  @Override
  public Integer call() throws IOException, InterruptedException {
    show(client().get(String.join("/", view)));
    return ExitCode.SUCCESS;
  }
}
