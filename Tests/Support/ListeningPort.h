// Finds a free TCP port on the loopback interface for a test server.

#ifndef MIMOSASHUNT_TESTS_SUPPORT_LISTENINGPORT_H
#define MIMOSASHUNT_TESTS_SUPPORT_LISTENINGPORT_H

#include "Links/SocketAddress.h"

#include <arpa/inet.h>
#include <cstdlib>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace mimosashunt::test {

/// Returns a loopback address whose port was free at the time of the call. The
/// port is not reserved. Aborts if no port can be bound.
inline SocketAddress freeAddress() {
  int Socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Bound{};
  Bound.sin_family = AF_INET;
  Bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(Bound);
  auto *Address = reinterpret_cast<sockaddr *>(&Bound);
  if (bind(Socket, Address, Size) != 0 ||
      getsockname(Socket, Address, &Size) != 0)
    std::abort();
  close(Socket);
  SocketAddress Result;
  SocketAddress::parse("127.0.0.1:" + std::to_string(ntohs(Bound.sin_port)),
                       Result);
  return Result;
}

} // namespace mimosashunt::test

#endif
