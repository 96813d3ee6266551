#include "Links/HttpTypes.h"

#include <utility>

namespace mimosashunt {

std::string headerValue(const std::vector<HttpHeader> &Headers,
                        std::string_view Name) {
  for (const HttpHeader &Header : Headers)
    if (Header.Name == Name)
      return Header.Value;
  return {};
}

HttpResponse jsonResponse(int Status, std::string Body) {
  const char *Type =
      Status < 400 ? "application/json" : "application/problem+json";
  return {Status, {{"content-type", Type}}, std::move(Body)};
}

} // namespace mimosashunt
