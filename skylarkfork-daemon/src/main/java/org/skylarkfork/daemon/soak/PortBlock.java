package org.skylarkfork.daemon.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Ports that one soak has for itself until it is over.
 *
 * <p>A daemon binds its ports only once it has started, and again after each restart. Another soak
 * on the machine that found them free meanwhile took them, and the daemon halted at its start. They
 * lie below those that the kernel gives to outgoing connections.
 */
final class PortBlock implements AutoCloseable {

  private static final String HOST = "127.0.0.1";
  private static final int FIRST_PORT = 20_000;
  private static final int LAST_PORT = 32_000;
  private static final int SIZE = 120;
  private static final int BLOCKS = (LAST_PORT - FIRST_PORT) / SIZE;
  private static final int MOST_TRIES = 1000;

  private final FileChannel channel;
  private final int first;
  private int used;

  private PortBlock(FileChannel channel, int first) {
    this.channel = channel;
    this.first = first;
  }

  /**
   * Takes a block that no running soak has.
   *
   * @throws IOException if none is to be had
   */
  static PortBlock take() throws IOException {
    Path folder = Path.of(System.getProperty("java.io.tmpdir"), "skylarkfork-soak-ports");
    Files.createDirectories(folder);
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create();
    for (int tries = 0; tries < MOST_TRIES; tries++) {
      int block = random.nextInt(BLOCKS);
      FileChannel channel = lock(folder.resolve(String.valueOf(block)));
      if (channel != null) {
        return new PortBlock(channel, FIRST_PORT + block * SIZE);
      }
    }
    throw new IOException("none of " + BLOCKS + " blocks of ports is free; run fewer soaks");
  }

  /** Locks a file until its channel is closed or this process ends; null if another one has it. */
  private static @Nullable FileChannel lock(Path file) throws IOException {
    FileChannel channel =
        FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    FileLock lock = null;
    try {
      lock = channel.tryLock();
    } catch (OverlappingFileLockException taken) {
      Logger.debug("soak: block {} is another soak's of this process", file);
    }
    if (lock == null) {
      channel.close();
      return null;
    }
    return channel;
  }

  /**
   * Returns the next port of the block that nobody has bound.
   *
   * @throws IOException if there is none left
   */
  int next() throws IOException {
    while (used < SIZE) {
      int port = first + used++;
      if (isFree(port)) {
        return port;
      }
    }
    throw new IOException("the block of " + SIZE + " ports is used up; run fewer processes");
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
      return socket.isBound();
    } catch (IOException taken) {
      Logger.debug("soak: port {} is taken: {}", port, taken.getMessage());
      return false;
    }
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
