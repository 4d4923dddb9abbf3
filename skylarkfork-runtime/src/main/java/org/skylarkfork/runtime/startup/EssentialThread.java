package org.skylarkfork.runtime.startup;

/** A thread that its daemon can't do without: a failure that ends it ends the process. */
public final class EssentialThread extends Thread {

  /**
   * Creates a thread.
   *
   * @param task what it runs
   * @param name its name
   */
  public EssentialThread(Runnable task, String name) {
    super(task, name);
  }
}
