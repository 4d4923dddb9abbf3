/** Runs a case and ends the process with the status that its script reports. */
final class Case {

  /** Status if the rule was broken. */
  private static final int BROKEN = 1;

  /** Status if the case couldn't run. */
  private static final int NOT_RUN = 2;

  private Case() {}

  /** A case, which returns whether the rule was broken. */
  interface Body {

    /**
     * Runs the case.
     *
     * @param journal receives what was sent, answered and run
     * @param trouble whether the disruption happens
     */
    boolean run(Journal journal, boolean trouble) throws Exception;
  }

  /**
   * Runs a case and ends the process.
   *
   * @param arguments the folder of the case
   * @param body the case
   */
  static void run(String[] arguments, Body body) {
    int status = NOT_RUN;
    try {
      Journal journal = new Journal(arguments[0]);
      boolean trouble = !"0".equals(System.getenv("TROUBLE"));
      journal.add(trouble ? "with the disruption" : "without the disruption");
      status = body.run(journal, trouble) ? BROKEN : 0;
    } catch (Exception | Error failure) {
      System.err.println("the case couldn't run: " + failure);
    }
    System.exit(status);
  }
}
