#include "Links/SocketAddress.h"

#include "Links/LinkError.h"

#include <arpa/inet.h>
#include <charconv>
#include <sys/socket.h>
#include <unistd.h>

namespace mimosashunt {

namespace {
constexpr int ListenBacklog = 1024;
} // namespace

std::error_code SocketAddress::parse(const std::string &Text,
                                     SocketAddress &Result) {
  size_t Colon = Text.find(':');
  // What follows a NUL would not be seen by inet_pton() but sent in headers.
  if (Colon == std::string::npos || Text.find('\0') != std::string::npos)
    return LinkError::BadAddress;
  sockaddr_in Native{};
  Native.sin_family = AF_INET;
  std::string Ip = Text.substr(0, Colon);
  if (inet_pton(AF_INET, Ip.c_str(), &Native.sin_addr) != 1)
    return LinkError::BadAddress;
  uint16_t Port = 0;
  const char *First = Text.data() + Colon + 1;
  const char *Last = Text.data() + Text.size();
  auto Parsed = std::from_chars(First, Last, Port);
  if (Parsed.ec != std::errc() || Parsed.ptr != Last || Port == 0)
    return LinkError::BadAddress;
  Native.sin_port = htons(Port);
  Result.Text = Text;
  Result.Native = Native;
  return {};
}

std::error_code SocketAddress::listen(int &Descriptor,
                                      SocketBuffers Buffers) const {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return LinkError::CannotListen;
  int Reuse = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Reuse, sizeof(Reuse));
  if (Buffers.ReceiveBytes > 0)
    setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &Buffers.ReceiveBytes,
               sizeof(Buffers.ReceiveBytes));
  if (Buffers.SendBytes > 0)
    setsockopt(Socket, SOL_SOCKET, SO_SNDBUF, &Buffers.SendBytes,
               sizeof(Buffers.SendBytes));
  const auto *Address = reinterpret_cast<const sockaddr *>(&Native);
  if (bind(Socket, Address, sizeof(Native)) != 0 ||
      ::listen(Socket, ListenBacklog) != 0) {
    close(Socket);
    return LinkError::CannotListen;
  }
  Descriptor = Socket;
  return {};
}

} // namespace mimosashunt
