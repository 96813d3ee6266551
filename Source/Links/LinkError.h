// Errors of the link layer: addresses and listening sockets.

#ifndef MIMOSASHUNT_LINKS_LINKERROR_H
#define MIMOSASHUNT_LINKS_LINKERROR_H

#include <system_error>

namespace mimosashunt {

enum class LinkError {
  /// The text is not an address of the form IP:port.
  BadAddress = 1,
  /// The listening socket cannot be opened.
  CannotListen,
};

const std::error_category &linkErrorCategory();
std::error_code make_error_code(LinkError Error);

} // namespace mimosashunt

template <>
struct std::is_error_code_enum<mimosashunt::LinkError> : std::true_type {};

#endif
