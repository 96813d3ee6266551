// Parses the values of command line flags that hold addresses.

#ifndef MIMOSASHUNT_STANDINS_ADDRESSFLAGS_H
#define MIMOSASHUNT_STANDINS_ADDRESSFLAGS_H

#include "Links/SocketAddress.h"

#include <cstdlib>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

namespace mimosashunt {

/// Parses \p Text, the value of \p Flag, as one or more addresses with commas
/// between them. If it is empty or malformed, prints an error and exits with
/// status 2.
inline std::vector<SocketAddress> readAddresses(const std::string &Flag,
                                                const std::string &Text) {
  constexpr int UsageStatus = 2;
  std::vector<SocketAddress> Result;
  std::stringstream In(Text);
  std::string Part;
  while (std::getline(In, Part, ',')) {
    SocketAddress Address;
    if (SocketAddress::parse(Part, Address)) {
      std::cerr << "--" << Flag << ": " << Part
                << " is not of the form IP:port\n";
      std::exit(UsageStatus);
    }
    Result.push_back(Address);
  }
  if (Result.empty()) {
    std::cerr << "--" << Flag << ": missing; expected: IP:port\n";
    std::exit(UsageStatus);
  }
  return Result;
}

} // namespace mimosashunt

#endif
