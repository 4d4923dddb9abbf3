package org.skylarkfork.daemon;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.GlobalMetadata;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

/** Shows the commands, or one command's options. */
@Command(name = "help", description = "Shows the commands, or the options of one.")
public final class HelpCommand implements Callable<Integer> {

  @AirlineModule private GlobalMetadata<Callable<Integer>> global;

  @Arguments(description = "Name of a command.")
  private List<String> command = new ArrayList<>();

  @Override
  public Integer call() throws Exception {
    if (!command.isEmpty() && !isKnown(command.get(0))) {
      System.err.println("There is no command '" + command.get(0) + "'.");
      System.err.println("Run 'skylarkfork help' for the commands and their options.");
      return ExitCode.USAGE;
    }
    Help.help(global, command, System.out);
    return ExitCode.SUCCESS;
  }

  private boolean isKnown(String name) {
    return global.getDefaultGroupCommands().stream().anyMatch(one -> one.getName().equals(name))
        || global.getCommandGroups().stream().anyMatch(one -> one.getName().equals(name));
  }
}
