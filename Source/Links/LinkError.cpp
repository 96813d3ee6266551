#include "Links/LinkError.h"

#include <string>

namespace mimosashunt {

namespace {

class LinkErrorCategory : public std::error_category {
public:
  const char *name() const noexcept override { return "link"; }
  std::string message(int Value) const override {
    switch (static_cast<LinkError>(Value)) {
    case LinkError::BadAddress:
      return "not an address of the form IP:port";
    case LinkError::CannotListen:
      return "cannot listen on the address";
    }
    return "unknown link error";
  }
};

} // namespace

const std::error_category &linkErrorCategory() {
  static const LinkErrorCategory Category;
  return Category;
}

std::error_code make_error_code(LinkError Error) {
  return {static_cast<int>(Error), linkErrorCategory()};
}

} // namespace mimosashunt
