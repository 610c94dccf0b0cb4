package io.cuminvalve.demo.experiment;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Finds free ports on the loopback address. */
final class FreePorts {

  private FreePorts() {}

  /** Returns distinct ports that were free a moment ago. */
  static List<Integer> find(int count) {
    List<ServerSocket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < count; i++) {
        sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
      }
      return sockets.stream().map(ServerSocket::getLocalPort).toList();
    } catch (IOException e) {
      throw new CodedException(ErrorCode.UNAVAILABLE, "no free ports", e);
    } finally {
      sockets.forEach(FreePorts::close);
    }
  }

  private static void close(ServerSocket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      throw new CodedException(ErrorCode.INTERNAL, "cannot close a port", e);
    }
  }
}
