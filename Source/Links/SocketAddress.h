// A TCP address made of an IPv4 address and a port. Host names are not
// resolved.

#ifndef MIMOSASHUNT_LINKS_SOCKETADDRESS_H
#define MIMOSASHUNT_LINKS_SOCKETADDRESS_H

#include <cstdint>
#include <netinet/in.h>
#include <string>
#include <system_error>

namespace mimosashunt {

/// Sizes of the kernel's buffers of a socket, in bytes. The kernel takes twice
/// as much for its own accounting. 0 for sizes that the kernel adapts.
struct SocketBuffers {
  int ReceiveBytes = 0;
  int SendBytes = 0;
};

class SocketAddress {
public:
  SocketAddress() = default;

  /// Parses "IP:port" (IPv4, port not 0) into \p Result. Fails with
  /// LinkError::BadAddress.
  static std::error_code parse(const std::string &Text, SocketAddress &Result);

  /// The text "IP:port"; empty for a default-constructed address.
  const std::string &text() const { return Text; }
  const sockaddr_in &native() const { return Native; }
  std::string ip() const { return Text.substr(0, Text.find(':')); }
  uint16_t port() const { return ntohs(Native.sin_port); }

  /// Opens a non-blocking listening socket on this address and stores it in
  /// \p Descriptor. Its connections have kernel buffers of these sizes. Fails
  /// with LinkError::CannotListen.
  std::error_code listen(int &Descriptor, SocketBuffers Buffers = {}) const;

  friend bool operator==(const SocketAddress &A, const SocketAddress &B) {
    return A.Text == B.Text;
  }
  friend auto operator<=>(const SocketAddress &A, const SocketAddress &B) {
    return A.Text <=> B.Text;
  }

private:
  // Text and Native always denote the same address.
  std::string Text;
  sockaddr_in Native{};
};

} // namespace mimosashunt

#endif
